package org.marigoldturn.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.ServerBuilder;
import java.io.IOException;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.SettingsRepository;
import org.marigoldturn.settings.StateCodec;
import org.marigoldturn.settings.VersionedState;

/** HTTP service for operators. Thread safe. */
public final class OperatorService {
    private static final ObjectMapper YAML = new YAMLMapper();
    private static final ObjectMapper JSON = new ObjectMapper();

    private final SettingsRepository mRepository;
    private final Supplier<LoadedState> mState;
    private final Supplier<Long> mNowMillis;

    /** Creates the service. */
    public OperatorService(
            SettingsRepository repository, Supplier<LoadedState> state, Supplier<Long> nowMillis) {
        mRepository = repository;
        mState = state;
        mNowMillis = nowMillis;
    }

    /** Adds the routes to a server. */
    public void register(ServerBuilder builder) {
        builder.service(
                "/v1/settings",
                (ctx, request) -> HttpResponse.of(request.aggregate().thenCompose(this::settings)));
        builder.service("/v1/status", (ctx, request) -> status());
    }

    private CompletableFuture<HttpResponse> settings(AggregatedHttpRequest request) {
        try {
            FleetSettings settings = YAML.readValue(request.content().array(), FleetSettings.class);
            return apply(settings);
        } catch (IOException e) {
            return CompletableFuture.completedFuture(
                    HttpResponse.of(
                            HttpStatus.BAD_REQUEST,
                            MediaType.PLAIN_TEXT_UTF_8,
                            String.valueOf(e.getMessage())));
        }
    }

    private CompletableFuture<HttpResponse> apply(FleetSettings settings) {
        LoadedState current = mState.get();
        Map<String, byte[]> contents =
                StateCodec.encode(settings, current.state().members(), current.state().rights());
        Map<String, String> entries = new java.util.TreeMap<>();
        contents.forEach(
                (path, content) ->
                        entries.put(path, org.marigoldturn.settings.ContentHash.of(content)));
        Manifest manifest =
                new Manifest(
                        current.state().version() + 1,
                        UUID.randomUUID().toString(),
                        "operator",
                        mNowMillis.get(),
                        entries);
        VersionedState next =
                new VersionedState(
                        manifest, settings, current.state().members(), current.state().rights());
        return mRepository
                .commit(next, contents, current.manifestRevision())
                .thenApply(
                        done ->
                                done
                                        ? HttpResponse.of("version " + manifest.version() + "\n")
                                        : HttpResponse.of(HttpStatus.CONFLICT));
    }

    private HttpResponse status() {
        try {
            Map<String, Object> status = Map.of("version", mState.get().state().version());
            return HttpResponse.of(HttpStatus.OK, MediaType.JSON, JSON.writeValueAsBytes(status));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode status", e);
        }
    }
}
