package org.marigoldturn.operator;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.annotation.Default;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.fleet.AvailabilityBudget;
import org.marigoldturn.fleet.HostLifecycle;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;

/** Routes that drain hosts, return them to service and move them. Thread safe. */
final class HostRoutes {
    private final OperatorParts mParts;
    private final ChangePipeline mChanges;
    private final HostLifecycle mLifecycle = new HostLifecycle();

    HostRoutes(OperatorParts parts, ChangePipeline changes) {
        mParts = parts;
        mChanges = changes;
    }

    /** Drains a host for maintenance. */
    @Post("/hosts/{host}/drain")
    public CompletableFuture<HttpResponse> drain(
            @Param("host") String host,
            @Param("force") @Default("false") boolean force,
            RequestHeaders headers) {
        return mChanges.change(
                headers,
                state -> {
                    checkBudget(state.settings(), host, force);
                    return mLifecycle.drain(state.settings(), host);
                });
    }

    /** Starts to return a host to service. */
    @Post("/hosts/{host}/return")
    public CompletableFuture<HttpResponse> returnToService(
            @Param("host") String host, RequestHeaders headers) {
        return mChanges.change(
                headers,
                state -> {
                    ResourceRoutes.require(ResourceKind.HOSTS, state.settings(), host);
                    return mLifecycle.returnToService(
                            state.settings(), host, mParts.nowMillis().getAsLong());
                });
    }

    /** Drains a host and then moves it to another pool. */
    @Post("/hosts/{host}/move")
    public CompletableFuture<HttpResponse> move(
            @Param("host") String host,
            @Param("pool") String pool,
            @Param("force") @Default("false") boolean force,
            RequestHeaders headers) {
        return mChanges.change(
                headers,
                state -> {
                    if (pool.equals(state.settings().policy().pendingMoves().get(host))) {
                        return java.util.List.of();
                    }
                    checkBudget(state.settings(), host, force);
                    return mLifecycle.move(state.settings(), host, pool);
                });
    }

    private void checkBudget(FleetSettings settings, String name, boolean force) {
        HostSettings host =
                (HostSettings) ResourceRoutes.require(ResourceKind.HOSTS, settings, name);
        Set<String> failed = mParts.failedHosts().get();
        if (force || AvailabilityBudget.isAbsent(settings, failed, host)) {
            return;
        }
        AvailabilityBudget budget = AvailabilityBudget.of(settings, failed);
        if (!budget.fits(host)) {
            throw new OperatorException(
                    HttpStatus.UNPROCESSABLE_ENTITY,
                    "budget-exceeded",
                    "host \"%s\" stays in service: a budget of pool \"%s\" would be exceeded"
                            .formatted(name, host.pool()),
                    Map.of(
                            "shortfalls",
                            budget.withAbsent(host).statuses().stream()
                                    .filter(status -> !status.met())
                                    .filter(status -> status.pool().equals(host.pool()))
                                    .toList()));
        }
    }
}
