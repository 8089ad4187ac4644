package org.marigoldturn.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.SettingsRepository;
import org.marigoldturn.store.KeyValueStore;
import org.marigoldturn.store.StoreException;
import org.marigoldturn.store.StoredValue;
import org.tinylog.Logger;

/**
 * Keeps the adopted state up to date with the store: watches the manifest, and reads the state when
 * the watch delivers a newer version or a confirmation finds another manifest. Belongs to the
 * control thread.
 */
final class SettingsSync {
    /** Shortest time between attempts to open a watch. */
    private static final long WATCH_RETRY_MILLIS = 1_000;

    private final KeyValueStore mStore;
    private final SettingsRepository mRepository;
    private final StatePublisher mPublisher;
    private final ControlLoop mControl;
    private final LongSupplier mNowMillis;
    private KeyValueStore.Watch mWatch;
    private long mWatchOpenedAtMillis;
    private long mWatchedVersion;
    private boolean mLoading;
    private boolean mLoadAgain;

    SettingsSync(
            KeyValueStore store,
            SettingsRepository repository,
            StatePublisher publisher,
            ControlLoop control,
            LongSupplier nowMillis) {
        mStore = store;
        mRepository = repository;
        mPublisher = publisher;
        mControl = control;
        mNowMillis = nowMillis;
    }

    /** Reads the newest state; a call during a read causes one more read after it. */
    void load() {
        if (mLoading) {
            mLoadAgain = true;
            return;
        }
        mLoading = true;
        CompletableFuture<LoadedState> loading = mRepository.load(mPublisher.loaded().contents());
        var unused =
                loading.whenCompleteAsync(
                        (loaded, failure) -> {
                            mLoading = false;
                            if (failure == null) {
                                mPublisher.adopt(loaded);
                            } else {
                                Logger.warn(
                                        "settings: cannot read the state from the store: {}.",
                                        rootMessage(failure));
                            }
                            if (mLoadAgain) {
                                mLoadAgain = false;
                                load();
                            }
                        },
                        mControl);
    }

    /**
     * Opens the watch if there is none, and replaces it if it did not deliver the version that this
     * daemon holds.
     */
    void checkWatch() {
        long nowMillis = mNowMillis.getAsLong();
        if (nowMillis - mWatchOpenedAtMillis < WATCH_RETRY_MILLIS) {
            return;
        }
        long held = mPublisher.state().version();
        if (mWatch != null && mWatchedVersion < held) {
            Logger.warn("settings: the watch did not deliver version {}; opening a new one.", held);
            mWatch.cancel();
            mWatch = null;
        }
        if (mWatch == null) {
            open(nowMillis);
        }
    }

    private void open(long nowMillis) {
        mWatchOpenedAtMillis = nowMillis;
        mWatchedVersion = mPublisher.state().version();
        Listener listener = new Listener();
        mWatch =
                mStore.watch(
                        mRepository.manifestKey(),
                        mPublisher.loaded().manifestRevision(),
                        listener);
        listener.mOwnWatch = mWatch;
    }

    private static String rootMessage(Throwable failure) {
        Throwable cause = failure;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return String.valueOf(cause.getMessage());
    }

    /** Listener of one watch; the end of a watch that was replaced is ignored. */
    private final class Listener implements KeyValueStore.WatchListener {
        private volatile KeyValueStore.Watch mOwnWatch;

        @Override
        public void onValue(StoredValue value) {
            long version =
                    org.marigoldturn.settings.StateCodec.decodeManifest(value.value().toByteArray())
                            .version();
            mControl.execute(
                    () -> {
                        mWatchedVersion = Math.max(mWatchedVersion, version);
                        if (version > mPublisher.state().version()) {
                            load();
                        }
                    });
        }

        @Override
        public void onEnd(StoreException cause) {
            mControl.execute(
                    () -> {
                        if (mWatch == mOwnWatch) {
                            mWatch = null;
                        }
                    });
        }
    }
}
