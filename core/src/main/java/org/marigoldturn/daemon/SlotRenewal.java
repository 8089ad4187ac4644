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
 * Divides the slots of pools anew among the members that answer.
 *
 * <p>A silent member that resumes takes over the new division before it starts work, because its
 * confirmation has expired. Its running requests may exceed the slots of a host until they end;
 * limits of teams are not touched. Belongs to the control thread.
 */
final class SlotRenewal {
    /** Time between attempts; the reports that follow a new division need a few seconds. */
    private static final long ATTEMPT_INTERVAL_MILLIS = 5_000;

    private final StatePublisher mPublisher;
    private final SettingsRepository mRepository;
    private final ControlLoop mControl;
    private final LongSupplier mNowMillis;
    private long mNextAttemptAtMillis;

    SlotRenewal(
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
     * Commits a new division of the slots of the pools.
     *
     * @param answering members that answer; without a majority, the fault may be this daemon's own
     */
    void renew(Set<String> pools, Collection<String> answering) {
        long nowMillis = mNowMillis.getAsLong();
        VersionedState base = mPublisher.state();
        boolean early = nowMillis < mNextAttemptAtMillis;
        if (pools.isEmpty() || early || answering.size() < base.members().majority()) {
            return;
        }
        mNextAttemptAtMillis = nowMillis + ATTEMPT_INTERVAL_MILLIS;
        List<String> daemons = List.copyOf(new TreeSet<>(answering));
        Logger.warn("rights: slots of pools {} are lost; dividing them among {}.", pools, daemons);
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
                        rights.teams(), rights.slots().renew(lost, daemons, state.version() + 1)));
    }

    private void onResult(ChangeResult result, Throwable failure) {
        if (result instanceof ChangeResult.Committed committed) {
            mPublisher.adopt(committed.state());
        } else {
            Logger.warn("rights: new division of slots not committed: {}.", failure);
        }
    }
}
