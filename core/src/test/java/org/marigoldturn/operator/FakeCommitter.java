package org.marigoldturn.operator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.fleet.EditedSettings;
import org.marigoldturn.settings.ChangeResult;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.PoolSettings;
import org.marigoldturn.settings.SettingsChange;
import org.marigoldturn.settings.SettingsCommitter;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;

/** Committer that keeps versions in memory and detects conflicts and repeated change ids. */
public final class FakeCommitter implements SettingsCommitter {
    private final Map<String, VersionedState> mCommitted = new HashMap<>();
    private VersionedState mState;
    private RuntimeException mFailure;
    private SettingsChange mConcurrentChange;

    /** Creates a committer that holds the settings as version 1. */
    public FakeCommitter(FleetSettings settings) {
        mState = next(VersionedState.INITIAL, "c1", "setup", settings);
    }

    /** Returns the newest state. */
    public synchronized VersionedState state() {
        return mState;
    }

    /** Makes each later commit fail, or succeed again if null. */
    public synchronized void failWith(RuntimeException failure) {
        mFailure = failure;
    }

    /** Makes another author commit the edit right before the next change. */
    public synchronized void commitBeforeNext(String author, SettingsEdit edit) {
        mConcurrentChange = new SettingsChange("rival", author, mState.version(), List.of(edit));
    }

    @Override
    public synchronized CompletableFuture<ChangeResult> commit(
            SettingsChange change, long nowMillis) {
        if (mFailure != null) {
            return CompletableFuture.failedFuture(mFailure);
        }
        if (mConcurrentChange != null) {
            SettingsChange concurrentChange = mConcurrentChange;
            mConcurrentChange = null;
            mState =
                    next(
                            mState,
                            concurrentChange.changeId(),
                            concurrentChange.author(),
                            apply(concurrentChange));
        }
        VersionedState earlier = mCommitted.get(change.changeId());
        if (earlier == null && change.baseVersion() != mState.version()) {
            return CompletableFuture.completedFuture(
                    new ChangeResult.Conflict(mState.manifest(), change.edits().get(0).path()));
        }
        if (earlier == null) {
            mState = next(mState, change.changeId(), change.author(), apply(change));
            mCommitted.put(change.changeId(), mState);
        }
        LoadedState loaded = new LoadedState(mCommitted.get(change.changeId()), Map.of(), 0);
        return CompletableFuture.completedFuture(new ChangeResult.Committed(loaded));
    }

    private FleetSettings apply(SettingsChange change) {
        FleetSettings settings = mState.settings();
        for (SettingsEdit edit : change.edits()) {
            settings = apply(settings, edit);
        }
        return settings;
    }

    private static FleetSettings apply(FleetSettings settings, SettingsEdit edit) {
        Map<String, PoolSettings> pools = new HashMap<>(settings.pools());
        Map<String, TeamSettings> teams = new HashMap<>(settings.teams());
        if (edit instanceof SettingsEdit.ReplaceAll all) {
            return all.settings();
        } else if (edit instanceof SettingsEdit.PutPool put) {
            pools.put(put.pool().name(), put.pool());
        } else if (edit instanceof SettingsEdit.PutTeam put) {
            teams.put(put.team().name(), put.team());
        } else if (edit instanceof SettingsEdit.Delete delete) {
            pools.remove(delete.path().substring("pools/".length()));
        } else {
            EditedSettings edited = new EditedSettings(settings);
            edited.apply(List.of(edit));
            return edited.current();
        }
        return new FleetSettings(
                settings.zones(),
                pools,
                settings.services(),
                teams,
                settings.hosts(),
                settings.policy());
    }

    private static VersionedState next(
            VersionedState state, String changeId, String author, FleetSettings settings) {
        Manifest manifest = new Manifest(state.version() + 1, changeId, author, 0, Map.of());
        return new VersionedState(manifest, settings, state.members(), state.rights());
    }
}
