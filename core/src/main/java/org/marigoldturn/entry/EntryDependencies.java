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
 * What the filter chain needs from the rest of the daemon. All parts are thread safe and never
 * block.
 *
 * @param daemonId id of this daemon, sent to targets as the owner
 * @param state the held version
 * @param gate whether the held version is confirmed
 * @param rights team limits and host slots
 * @param entitlements entitlements of this daemon
 * @param claims request ids
 * @param leavingHosts whether the host list reports a host as leaving or ended
 * @param drain state of a graceful shutdown
 * @param decisions receives the decisions about each request
 * @param metrics registry of the daemon
 * @param nowMillis wall clock time
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
