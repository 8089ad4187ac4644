package org.marigoldturn.fleet;

import java.util.List;
import java.util.Optional;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.SettingsChange;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.VersionedState;

/**
 * Combines the decisions of all planners into one settings change per step. Stateless.
 *
 * <p>The change is based on the version that was read. A holder of the planner role that was paused
 * and acts on an outdated version therefore commits nothing.
 */
public final class FleetPlanner {
    /** Author of the planner's changes. */
    public static final String AUTHOR = "planner";

    private final ZonePlanner mZones = new ZonePlanner();
    private final DrainCanceller mCanceller = new DrainCanceller();
    private final HostLifecycle mLifecycle = new HostLifecycle();
    private final MaintenancePlanner mMaintenance = new MaintenancePlanner();
    private final LoanPlanner mLoans = new LoanPlanner();

    /**
     * Returns the next change, empty if there is nothing to do.
     *
     * @param changeId unique id of the change
     * @param nowMillis current wall-clock time
     */
    public Optional<SettingsChange> step(
            VersionedState state, FleetObservation observed, String changeId, long nowMillis) {
        List<SettingsEdit> edits = edits(state.settings(), observed, nowMillis);
        return edits.isEmpty()
                ? Optional.empty()
                : Optional.of(new SettingsChange(changeId, AUTHOR, state.version(), edits));
    }

    /** Returns the edits of all planners, each applied to the result of the ones before it. */
    public List<SettingsEdit> edits(
            FleetSettings settings, FleetObservation observed, long nowMillis) {
        EditedSettings edited = new EditedSettings(settings);
        edited.apply(mZones.finishRamps(edited.current(), nowMillis));
        edited.apply(mCanceller.cancel(edited.current(), observed.failedHosts(), observed.hosts()));
        edited.apply(mLifecycle.advance(edited.current(), observed.hosts(), nowMillis));
        edited.apply(
                mLoans.plan(
                        edited.current(),
                        observed.failedHosts(),
                        observed.demands(),
                        observed.expectedDrainMillis(),
                        nowMillis));
        edited.apply(mMaintenance.step(edited.current(), observed.failedHosts(), nowMillis));
        return edited.edits();
    }
}
