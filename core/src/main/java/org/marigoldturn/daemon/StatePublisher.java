package org.marigoldturn.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.store.Compare;
import org.tinylog.Logger;

/**
 * Holds the adopted state and publishes it to the request path.
 *
 * <p>The version never decreases. Listeners are called with a version before the request path sees
 * it, and both happen before this daemon can acknowledge the version to others. Publication belongs
 * to the control thread; reads are safe on any thread.
 */
final class StatePublisher {
    /** Called on the control thread with a state that is about to be published. */
    interface Listener {
        void onState(VersionedState previous, VersionedState state);
    }

    static final LoadedState INITIAL =
            new LoadedState(VersionedState.INITIAL, Map.of(), Compare.ABSENT);

    private final List<Listener> mListeners = new ArrayList<>();
    private Consumer<LoadedState> mAdopter = loaded -> {};
    private volatile LoadedState mLoaded = INITIAL;

    /** Adds a listener; to be called before the first publication. */
    void addListener(Listener listener) {
        mListeners.add(listener);
    }

    /** Sets the component that decides on adoption and then calls {@link #publish}. */
    void setAdopter(Consumer<LoadedState> adopter) {
        mAdopter = adopter;
    }

    LoadedState loaded() {
        return mLoaded;
    }

    VersionedState state() {
        return mLoaded.state();
    }

    /** Offers a state for adoption; an older one is ignored. */
    void adopt(LoadedState loaded) {
        mAdopter.accept(loaded);
    }

    /** Publishes an adopted state, which must be newer than the current one. */
    void publish(LoadedState loaded) {
        VersionedState previous = mLoaded.state();
        VersionedState state = loaded.state();
        mListeners.forEach(listener -> listener.onState(previous, state));
        mLoaded = loaded;
        Logger.info(
                "settings: adopted version {} of {}.", state.version(), state.manifest().author());
    }
}
