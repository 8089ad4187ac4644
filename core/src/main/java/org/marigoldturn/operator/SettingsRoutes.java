package org.marigoldturn.operator;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.annotation.Default;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import com.linecorp.armeria.server.annotation.Put;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.SettingsParser;
import org.marigoldturn.settings.SettingsWriter;
import org.marigoldturn.settings.VersionedState;

/** Routes that show, check and replace all settings or those of the planner. Thread safe. */
final class SettingsRoutes {
    private static final int MAX_HISTORY = 1_000;

    private final OperatorParts mParts;
    private final ChangePipeline mChanges;

    SettingsRoutes(OperatorParts parts, ChangePipeline changes) {
        mParts = parts;
        mChanges = changes;
    }

    /** Returns the settings in force. */
    @Get("/settings")
    public HttpResponse show() {
        VersionedState state = mParts.state().get();
        return Responses.json(Map.of("version", state.version(), "settings", state.settings()));
    }

    /** Returns the settings in force as a file that can be applied again. */
    @Get("/settings/file")
    public HttpResponse file() {
        VersionedState state = mParts.state().get();
        return Responses.json(
                Map.of("version", state.version(), "file", SettingsWriter.write(state.settings())));
    }

    /**
     * Replaces all settings except the policy, the states and pools of existing hosts, the states
     * of existing zones, and the keys of teams that list none.
     */
    @Put("/settings")
    public CompletableFuture<HttpResponse> apply(AggregatedHttpRequest request) {
        FleetSettings requested = parse(request);
        return mChanges.change(
                request.headers(),
                state -> {
                    FleetSettings next =
                            OperationalState.preserve(
                                    state.settings(), requested, mParts.nowMillis().getAsLong());
                    return next.equals(state.settings())
                            ? List.of()
                            : List.of(new SettingsEdit.ReplaceAll(next));
                });
    }

    /** Validates settings without applying them. */
    @Post("/settings/check")
    public HttpResponse check(AggregatedHttpRequest request) {
        OperationalState.preserve(
                mParts.state().get().settings(), parse(request), mParts.nowMillis().getAsLong());
        return Responses.json(Map.of("valid", true));
    }

    /** Lists the changes that applying the given settings would make. */
    @Post("/settings/diff")
    public HttpResponse diff(AggregatedHttpRequest request) {
        VersionedState state = mParts.state().get();
        FleetSettings next =
                OperationalState.preserve(
                        state.settings(), parse(request), mParts.nowMillis().getAsLong());
        return Responses.json(
                Map.of(
                        "version",
                        state.version(),
                        "differences",
                        SettingsDifference.between(state.settings(), next)));
    }

    /** Lists the newest versions. */
    @Get("/settings/history")
    public CompletableFuture<HttpResponse> history(@Param("limit") @Default("20") int limit) {
        return mParts.history()
                .recent(Math.max(1, Math.min(limit, MAX_HISTORY)))
                .thenApply(
                        manifests ->
                                Responses.json(
                                        manifests.stream().map(SettingsRoutes::summary).toList()))
                .exceptionally(Responses::problem);
    }

    /** Returns the settings of the planner. */
    @Get("/policy")
    public HttpResponse policy() {
        return Responses.json(mParts.state().get().settings().policy());
    }

    /** Replaces the settings of the planner, but keeps its wave, pending moves and loans. */
    @Put("/policy")
    public CompletableFuture<HttpResponse> putPolicy(AggregatedHttpRequest request) {
        try {
            FleetPolicy requested =
                    Responses.JSON.treeToValue(ResourceRoutes.body(request), FleetPolicy.class);
            return mChanges.change(
                    request.headers(),
                    state ->
                            List.of(
                                    new SettingsEdit.PutPolicy(
                                            OperationalState.preserve(
                                                    state.settings().policy(), requested))));
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw OperatorException.badRequest("policy: " + e.getOriginalMessage());
        }
    }

    private static Map<String, Object> summary(Manifest manifest) {
        return Map.of(
                "version", manifest.version(),
                "author", manifest.author(),
                "changeId", manifest.changeId(),
                "committedAtMillis", manifest.committedAtMillis());
    }

    private FleetSettings parse(AggregatedHttpRequest request) {
        return SettingsParser.parse(request.contentUtf8())
                .getOrElseThrow(
                        errors ->
                                new OperatorException(
                                        HttpStatus.UNPROCESSABLE_ENTITY,
                                        "invalid-settings",
                                        "the settings are invalid",
                                        Map.of("errors", errors)));
    }
}
