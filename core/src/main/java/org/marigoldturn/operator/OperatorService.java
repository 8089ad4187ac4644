package org.marigoldturn.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.ServerBuilder;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.marigoldturn.settings.ChangeResult;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.SettingsChange;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.SettingsError;
import org.marigoldturn.settings.SettingsParser;
import org.marigoldturn.settings.SettingsRepository;

/** HTTP service for operators. Thread safe. */
public final class OperatorService {
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
        return SettingsParser.parse(request.contentUtf8())
                .fold(
                        errors ->
                                CompletableFuture.completedFuture(
                                        text(HttpStatus.BAD_REQUEST, describe(errors))),
                        this::apply);
    }

    private CompletableFuture<HttpResponse> apply(FleetSettings settings) {
        SettingsChange change =
                new SettingsChange(
                        UUID.randomUUID().toString(),
                        "operator",
                        SettingsChange.ANY_VERSION,
                        List.of(new SettingsEdit.ReplaceAll(settings)));
        return mRepository.commit(change, mNowMillis.get()).thenApply(OperatorService::respond);
    }

    private static HttpResponse respond(ChangeResult result) {
        if (result instanceof ChangeResult.Committed committed) {
            long version = committed.state().state().version();
            return text(HttpStatus.OK, "version " + version + "\n");
        }
        if (result instanceof ChangeResult.Conflict conflict) {
            return text(
                    HttpStatus.CONFLICT,
                    "change %s of %s was committed first as version %d%n"
                            .formatted(
                                    conflict.winner().changeId(),
                                    conflict.winner().author(),
                                    conflict.winner().version()));
        }
        ChangeResult.Invalid invalid = (ChangeResult.Invalid) result;
        return text(HttpStatus.BAD_REQUEST, describe(invalid.errors()));
    }

    private static String describe(List<SettingsError> errors) {
        StringBuilder lines = new StringBuilder();
        for (SettingsError error : errors) {
            lines.append(
                    "line %d, %s: %s%n".formatted(error.line(), error.path(), error.message()));
        }
        return lines.toString();
    }

    private static HttpResponse text(HttpStatus status, String content) {
        return HttpResponse.of(status, MediaType.PLAIN_TEXT_UTF_8, content);
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
