package org.marigoldturn.operator;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.annotation.Default;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.marigoldturn.fleet.ZonePlan;
import org.marigoldturn.fleet.ZonePlanner;
import org.marigoldturn.settings.VersionedState;

/** Routes that take zones out of service and restore them. Thread safe. */
final class ZoneRoutes {
    private final OperatorParts mParts;
    private final ChangePipeline mChanges;
    private final ZonePlanner mPlanner = new ZonePlanner();

    ZoneRoutes(OperatorParts parts, ChangePipeline changes) {
        mParts = parts;
        mChanges = changes;
    }

    /** Takes a zone out of service. */
    @Post("/zones/{zone}/drain")
    public CompletableFuture<HttpResponse> drain(
            @Param("zone") String zone,
            @Param("force") @Default("false") boolean force,
            @Param("dryRun") @Default("false") boolean dryRun,
            RequestHeaders headers) {
        return run(
                zone,
                dryRun,
                headers,
                state ->
                        mPlanner.drain(
                                state.settings(),
                                mParts.failedHosts().get(),
                                zone,
                                force,
                                mParts.nowMillis().getAsLong()));
    }

    /** Restores a zone. */
    @Post("/zones/{zone}/restore")
    public CompletableFuture<HttpResponse> restore(
            @Param("zone") String zone,
            @Param("dryRun") @Default("false") boolean dryRun,
            RequestHeaders headers) {
        return run(
                zone,
                dryRun,
                headers,
                state ->
                        mPlanner.restore(
                                state.settings(),
                                mParts.failedHosts().get(),
                                zone,
                                mParts.nowMillis().getAsLong()));
    }

    private CompletableFuture<HttpResponse> run(
            String zone,
            boolean dryRun,
            RequestHeaders headers,
            Function<VersionedState, ZonePlan> planner) {
        Function<VersionedState, ZonePlan> checkedPlanner =
                state -> {
                    ResourceRoutes.require(ResourceKind.ZONES, state.settings(), zone);
                    return planner.apply(state);
                };
        if (dryRun) {
            ZonePlan plan = checkedPlanner.apply(mParts.state().get());
            return CompletableFuture.completedFuture(Responses.json(describe(plan)));
        }
        return mChanges.change(
                headers,
                state -> {
                    ZonePlan plan = checkedPlanner.apply(state);
                    if (plan.refused()) {
                        throw refused(plan);
                    }
                    return plan.edits();
                });
    }

    private static OperatorException refused(ZonePlan plan) {
        return new OperatorException(
                HttpStatus.UNPROCESSABLE_ENTITY,
                "budget-exceeded",
                "zone \"%s\" stays in service: %d budgets would be exceeded"
                        .formatted(plan.zone(), plan.shortfalls().size()),
                describe(plan));
    }

    private static Map<String, Object> describe(ZonePlan plan) {
        return Map.of(
                "zone", plan.zone(),
                "refused", plan.refused(),
                "shortfalls", plan.shortfalls(),
                "touched", plan.touched(),
                "presentSlots", plan.presentSlots(),
                "changes", plan.edits().size());
    }
}
