package org.marigoldturn.operator;

import com.codahale.metrics.MetricRegistry;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marigoldturn.membership.ChangeAcceptance;
import org.marigoldturn.settings.SettingsCommitter;
import org.marigoldturn.settings.VersionedState;

/**
 * Dependencies of the operator service. All of them are thread safe.
 *
 * @param token credential that operators present
 * @param state newest committed state that the daemon holds
 * @param failedHosts hosts that are unavailable through a failure
 * @param nowMillis wall-clock time
 */
public record OperatorParts(
        String token,
        Supplier<VersionedState> state,
        SettingsCommitter committer,
        ChangeAcceptance acceptance,
        SettingsVersions history,
        StatusSource status,
        Supplier<Set<String>> failedHosts,
        DecisionLog decisions,
        MemberRemover memberRemover,
        MetricRegistry metrics,
        LongSupplier nowMillis) {
    /** Omits the token, which must not appear in logs. */
    @Override
    public String toString() {
        return "OperatorParts";
    }
}
