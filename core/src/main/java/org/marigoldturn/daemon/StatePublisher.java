package org.marigoldturn.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.marigoldturn.platform.Compare;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.VersionedState;
import org.tinylog.Logger;

/**
 * Holds the newest adopted state of this daemon.
 *
 * <p>The version never decreases. The state is published before the listeners run, so that the
 * request path decides by a version before the daemon acknowledges it. Adoption belongs to the
 * control thread; reads are safe on any thread.
 */
final class StatePublisher {
    /** Reacts to a newly adopted state on the control thread. */
    interface Listener {
        void onState(VersionedState previous, VersionedState state);
    }

    private final List<Listener> mListeners = new ArrayList<>();
    private volatile LoadedState mLoaded =
            new LoadedState(VersionedState.INITIAL, Map.of(), Compare.ABSENT);

    /** Adds a listener; to be called before the first adoption. */
    void addListener(Listener listener) {
        mListeners.add(listener);
    }

    LoadedState loaded() {
        return mLoaded;
    }

    VersionedState state() {
        return mLoaded.state();
    }

    /**
     * Adopts a state if it is newer; takes over the store revision of the held one if it lacks it.
     */
    void adopt(LoadedState loaded) {
        VersionedState previous = mLoaded.state();
        if (loaded.state().version() < previous.version()) {
            return;
        }
        boolean newer = loaded.state().version() > previous.version();
        if (newer || mLoaded.manifestRevision() == Compare.ABSENT) {
            mLoaded = loaded;
        }
        if (newer) {
            Logger.info(
                    "settings: adopted version {} of {}.",
                    loaded.state().version(),
                    loaded.state().manifest().author());
            mListeners.forEach(listener -> listener.onState(previous, loaded.state()));
        }
    }
}
