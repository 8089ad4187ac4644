package org.marigoldturn.entry;

import com.codahale.metrics.MetricRegistry;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.marigoldturn.membership.ServingGate;
import org.marigoldturn.rights.RightsHolder;
import org.marigoldturn.routing.ClaimRegistry;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.shares.EntitlementSource;

/**
 * What the filter chain needs from the rest of the daemon. All components are thread safe and never
 * block.
 *
 * @param daemonId id of this daemon, sent to targets as the owner of the request
 * @param state version of the settings that this daemon holds
 * @param gate whether the held version is confirmed, so that requests may start
 * @param rights rights of teams and host slots that this daemon holds; each permits one request
 * @param entitlements number of requests that each team should run on this daemon while a pool is
 *     full
 * @param claims registry of the request ids that callers chose
 * @param leavingHosts whether the host list reports a host as leaving or ended
 * @param drain state of a graceful shutdown
 * @param decisions receives the decisions about each request
 * @param metrics registry of the daemon
 * @param nowMillis wall-clock time
 * @param nowNanos monotonic time
 * @param random source of random choices
 */
public record EntryDependencies(
        String daemonId,
        Supplier<VersionedState> state,
        ServingGate gate,
        RightsHolder rights,
        EntitlementSource entitlements,
        ClaimRegistry claims,
        Predicate<String> leavingHosts,
        DrainState drain,
        DecisionSink decisions,
        MetricRegistry metrics,
        LongSupplier nowMillis,
        LongSupplier nowNanos,
        RandomGenerator random) {
    public EntryDependencies {
        Objects.requireNonNull(daemonId, "daemonId");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(gate, "gate");
        Objects.requireNonNull(rights, "rights");
        Objects.requireNonNull(entitlements, "entitlements");
        Objects.requireNonNull(claims, "claims");
        Objects.requireNonNull(leavingHosts, "leavingHosts");
        Objects.requireNonNull(drain, "drain");
        Objects.requireNonNull(decisions, "decisions");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(nowMillis, "nowMillis");
        Objects.requireNonNull(nowNanos, "nowNanos");
        Objects.requireNonNull(random, "random");
    }
}
