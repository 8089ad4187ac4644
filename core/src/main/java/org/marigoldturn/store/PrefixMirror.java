package org.marigoldturn.store;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Keeps a copy of the keys under a prefix by listing them once and then watching them.
 *
 * <p>The keys are listed again when the store no longer has all changes since the last watch. A key
 * never returns to an earlier revision. A listener that fails for one key is not called again for
 * that revision of it, and all other keys are followed on. The listener is called on the control
 * executor, and all state is confined to it.
 */
public final class PrefixMirror {
    private static final long FIRST_RETRY_MILLIS = 100;

    private final MetadataStore mStore;
    private final String mPrefix;
    private final Options mOptions;
    private final Listener mListener;
    private final Executor mControl;
    private final DelayedRunner mDelays;
    private final LongSupplier mClockMillis;
    private final Map<String, Long> mRevisions = new HashMap<>();
    private long mRevision;
    private long mAsOfMillis = Long.MIN_VALUE;
    private long mRetryMillis = FIRST_RETRY_MILLIS;
    private boolean mInterrupted;
    private boolean mClosed;

    /**
     * Times of the calls to the store.
     *
     * @param waitMillis how long a watch waits for a change
     * @param pauseMillis pause after a watch that returned changes, so that the next one returns
     *     several at once
     * @param maxRetryMillis longest pause after a failure
     */
    public record Options(long waitMillis, long pauseMillis, long maxRetryMillis) {}

    /** Receives the changes of the mirrored keys. */
    public interface Listener {
        /** Reports a new or changed value. */
        void onValue(StoredValue value);

        /** Reports that a key was deleted. */
        void onRemoved(String key);

        /** Reports that all changes known to the store at the last call were delivered. */
        void onUpToDate();

        /** Reports that a call failed; it is repeated after a pause. */
        void onInterrupted(Throwable cause);
    }

    /** Runs a task on the control executor after a delay. */
    @FunctionalInterface
    public interface DelayedRunner {
        /** Runs the task once. */
        void after(long delayMillis, Runnable task);
    }

    /** Creates a mirror; it calls the store only after {@link #start}. */
    public PrefixMirror(
            MetadataStore store,
            String prefix,
            Options options,
            Listener listener,
            Executor control,
            DelayedRunner delays,
            LongSupplier clockMillis) {
        mStore = store;
        mPrefix = prefix;
        mOptions = options;
        mListener = listener;
        mControl = control;
        mDelays = delays;
        mClockMillis = clockMillis;
    }

    /** Starts listing and watching; must be called on the control executor. */
    public void start() {
        relist();
    }

    /** Stops the mirror; responses to calls in flight are ignored. */
    public void close() {
        mClosed = true;
    }

    /**
     * Returns the monotonic time at which the newest successful call was sent: the copy holds
     * everything that was written before. {@link Long#MIN_VALUE} if there was none.
     */
    public long asOfMillis() {
        return mAsOfMillis;
    }

    private void relist() {
        if (mClosed) {
            return;
        }
        listFrom("", new HashSet<>(), mClockMillis.getAsLong(), 0);
    }

    private void listFrom(
            String afterKey, Set<String> listedKeys, long sentMillis, long firstRevision) {
        whenDone(
                mStore.list(mPrefix, afterKey),
                page -> {
                    // The watch starts at the first page's revision, so that it returns the
                    // changes that were made while later pages were read.
                    long revision = firstRevision == 0 ? page.revision() : firstRevision;
                    String last = afterKey;
                    for (StoredValue value : page.values()) {
                        apply(value);
                        listedKeys.add(value.key());
                        last = value.key();
                    }
                    if (page.hasMore() && !page.values().isEmpty()) {
                        listFrom(last, listedKeys, sentMillis, revision);
                        return;
                    }
                    removeUnlisted(listedKeys);
                    mRevision = revision;
                    onSuccess(sentMillis);
                    watch();
                });
    }

    private void removeUnlisted(Set<String> listedKeys) {
        for (String key : Set.copyOf(mRevisions.keySet())) {
            if (!listedKeys.contains(key)) {
                mRevisions.remove(key);
                notifyListener(key, () -> mListener.onRemoved(key));
            }
        }
    }

    private void watch() {
        if (mClosed) {
            return;
        }
        long sentMillis = mClockMillis.getAsLong();
        whenDone(
                mStore.watch(mPrefix, mRevision, mOptions.waitMillis()),
                changes -> {
                    for (MetadataStore.Change change : changes.changes()) {
                        apply(change);
                    }
                    mRevision = Math.max(mRevision, changes.revision());
                    onSuccess(sentMillis);
                    if (changes.changes().isEmpty() || mOptions.pauseMillis() == 0) {
                        watch();
                    } else {
                        mDelays.after(mOptions.pauseMillis(), this::watch);
                    }
                });
    }

    private void apply(MetadataStore.Change change) {
        if (!change.deleted()) {
            apply(change.value());
            return;
        }
        String key = change.value().key();
        Long known = mRevisions.get(key);
        if (known != null && change.value().modRevision() > known) {
            mRevisions.remove(key);
            notifyListener(key, () -> mListener.onRemoved(key));
        }
    }

    private void apply(StoredValue value) {
        Long known = mRevisions.get(value.key());
        if (known == null || value.modRevision() > known) {
            mRevisions.put(value.key(), value.modRevision());
            notifyListener(value.key(), () -> mListener.onValue(value));
        }
    }

    /** Calls the listener; its failure for one key must not end the following of the others. */
    private void notifyListener(String key, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            Logger.error(
                    e,
                    "store: event=listener-failed prefix={} key={} revision={}",
                    mPrefix,
                    SingleLine.of(key),
                    mRevisions.get(key));
        }
    }

    private void onSuccess(long sentMillis) {
        if (mInterrupted) {
            Logger.info("store: event=regained prefix={} revision={}", mPrefix, mRevision);
        }
        mInterrupted = false;
        mRetryMillis = FIRST_RETRY_MILLIS;
        mAsOfMillis = Math.max(mAsOfMillis, sentMillis);
        notifyListener(mPrefix, mListener::onUpToDate);
    }

    private <T> void whenDone(CompletableFuture<T> call, Consumer<T> onSuccess) {
        call.handleAsync(
                        (result, failure) -> {
                            if (mClosed) {
                                return null;
                            }
                            if (failure == null) {
                                onSuccess.accept(result);
                            } else {
                                onFailure(unwrap(failure));
                            }
                            return null;
                        },
                        mControl)
                .exceptionally(
                        failure -> {
                            Logger.error(
                                    failure,
                                    "store: handling a result for the mirror of prefix {} failed;"
                                            + " its copy is not updated any more.",
                                    mPrefix);
                            return null;
                        });
    }

    private void onFailure(Throwable failure) {
        if (failure instanceof StoreHistoryLostException) {
            Logger.info("store: event=history-lost prefix={} revision={}", mPrefix, mRevision);
            relist();
            return;
        }
        if (!mInterrupted) {
            Logger.warn(
                    "store: event=lost prefix={} revision={} cause={}",
                    mPrefix,
                    mRevision,
                    failure.getMessage());
        }
        mInterrupted = true;
        notifyListener(mPrefix, () -> mListener.onInterrupted(failure));
        mDelays.after(mRetryMillis, mRevision == 0 ? this::relist : this::watch);
        mRetryMillis = Math.min(2 * mRetryMillis, mOptions.maxRetryMillis());
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }
}
