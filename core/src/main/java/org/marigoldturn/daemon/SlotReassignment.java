package org.marigoldturn.daemon;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.marigoldturn.settings.ChangeResult;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.RightsDivision;
import org.marigoldturn.settings.SettingsRepository;
import org.marigoldturn.settings.SystemState;
import org.marigoldturn.settings.VersionedState;
import org.tinylog.Logger;

/**
 * Divides the slots of pools among the responsive members again when the rights to some of them are
 * lost, for example with an unresponsive member.
 *
 * <p>An unresponsive member that resumes applies the new division before it starts requests,
 * because its confirmation has expired. Until its running requests end, more requests may run on a
 * host than the host has slots. Limits of teams are not affected. Belongs to the control thread.
 */
final class SlotReassignment {
    /** Time between attempts; reports that reflect a new division take a few seconds to arrive. */
    private static final long ATTEMPT_INTERVAL_MILLIS = 5_000;

    private final StatePublisher mPublisher;
    private final SettingsRepository mRepository;
    private final ControlLoop mControl;
    private final LongSupplier mNowMillis;
    private long mNextAttemptAtMillis;

    SlotReassignment(
            StatePublisher publisher,
            SettingsRepository repository,
            ControlLoop control,
            LongSupplier nowMillis) {
        mPublisher = publisher;
        mRepository = repository;
        mControl = control;
        mNowMillis = nowMillis;
    }

    /**
     * Commits a new division of the slots of the pools. Does nothing if less than a majority of the
     * members is responsive, since the fault may then be this daemon's own.
     *
     * @param responsiveMembers members that reply to pings
     */
    void reassign(Set<String> pools, Collection<String> responsiveMembers) {
        long nowMillis = mNowMillis.getAsLong();
        VersionedState base = mPublisher.state();
        boolean early = nowMillis < mNextAttemptAtMillis;
        if (pools.isEmpty() || early || responsiveMembers.size() < base.members().majority()) {
            return;
        }
        mNextAttemptAtMillis = nowMillis + ATTEMPT_INTERVAL_MILLIS;
        List<String> daemons = List.copyOf(new TreeSet<>(responsiveMembers));
        Logger.warn(
                "rights: slots of pools {} are lost; dividing all slots of these pools among {}.",
                pools,
                daemons);
        var unused =
                mRepository
                        .commitSystem(
                                UUID.randomUUID().toString(),
                                "slots",
                                state -> divided(state, pools, daemons),
                                base.version(),
                                nowMillis)
                        .whenCompleteAsync(this::onResult, mControl);
    }

    private static SystemState divided(
            VersionedState state, Set<String> pools, List<String> daemons) {
        Map<String, HostSettings> hosts = state.settings().hosts();
        Set<String> lost =
                hosts.values().stream()
                        .filter(host -> pools.contains(host.pool()))
                        .map(HostSettings::name)
                        .collect(Collectors.toSet());
        RightsDivision rights = state.rights();
        return new SystemState(
                state.members(),
                new RightsDivision(
                        rights.teams(),
                        rights.slots().reassign(lost, daemons, state.version() + 1)));
    }

    private void onResult(ChangeResult result, Throwable failure) {
        if (result instanceof ChangeResult.Committed committed) {
            mPublisher.adopt(committed.state());
        } else {
            Logger.warn(
                    "rights: new division of slots not committed: {}.",
                    failure == null ? result : failure);
        }
    }
}
