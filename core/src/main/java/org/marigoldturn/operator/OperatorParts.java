package org.marigoldturn.operator;

import com.codahale.metrics.MetricRegistry;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marigoldturn.membership.ChangeAcceptance;
import org.marigoldturn.settings.SettingsCommitter;
import org.marigoldturn.settings.VersionedState;

/**
 * What the operator service is built from. All parts are thread safe.
 *
 * @param token credential that operators present
 * @param state newest state that the daemon holds
 * @param failedHosts hosts that are unavailable without a plan
 * @param nowMillis wall clock
 */
public record OperatorParts(
        String token,
        Supplier<VersionedState> state,
        SettingsCommitter committer,
        ChangeAcceptance acceptance,
        SettingsHistory history,
        StatusSource status,
        Supplier<Set<String>> failedHosts,
        DecisionLog decisions,
        DaemonForgetter forgetter,
        MetricRegistry metrics,
        LongSupplier nowMillis) {
    /** Omits the token, which must not appear in logs. */
    @Override
    public String toString() {
        return "OperatorParts";
    }
}
