package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.MetadataStore;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.StoredValue;
import org.tinylog.Logger;

/**
 * Writes the owner's records in batches, one transaction at a time.
 *
 * <p>Every transaction requires the owner's term and the known revision of each key, so that a
 * transaction that is carried out late cannot take effect under a newer owner or replace a newer
 * record. A transaction without a response is repeated until its outcome is known. Confined to the
 * control thread.
 */
final class GroupCommit {
    /**
     * A transaction has at most 32 entries: one for the term, a condition and a write for each key.
     */
    private static final int MAX_KEYS_PER_TRANSACTION = 15;

    /** Collects writes that belong together; the end of a run is to be recorded within 100 ms. */
    private static final long LINGER_MILLIS = 20;

    private static final long RETRY_MILLIS = 200;

    /** The store counts as unavailable once a batch has waited for its response for this time. */
    private static final long STALLED_MILLIS = 700;

    private final MetadataStore mStore;
    private final ControlLoop mControl;
    private final Clocks mClocks;
    private final Compare mTermCondition;
    private final Runnable mOnFenced;
    private final Map<String, Long> mRevisions = new HashMap<>();
    private final Map<String, Write> mPending = new LinkedHashMap<>();
    private List<Write> mInFlight = List.of();
    private long mInFlightSinceMillis;
    private boolean mScheduled;
    private CompletableFuture<Boolean> mNextTermCheck;
    private boolean mTermCheckOpen;
    private boolean mClosed;

    /** One record to be written, or deleted if the value is null. */
    private record Write(String key, ByteString value, CompletableFuture<Void> done) {}

    GroupCommit(
            MetadataStore store,
            ControlLoop control,
            Clocks clocks,
            long termRevision,
            Runnable onFenced) {
        mStore = store;
        mControl = control;
        mClocks = clocks;
        mTermCondition = new Compare(StoreLayout.OWNER_TERM, termRevision);
        mOnFenced = onFenced;
    }

    /** Records the revision of a key that was read at the takeover. */
    void recordRevision(String key, long revision) {
        mRevisions.put(key, revision);
    }

    /** Writes a record; a write of the same key that has not been sent yet is replaced in place. */
    CompletableFuture<Void> put(String key, ByteString value) {
        return enqueue(key, value);
    }

    /** Deletes a record. */
    CompletableFuture<Void> delete(String key) {
        return enqueue(key, null);
    }

    /** Completes when no write of the key is pending. */
    CompletableFuture<Void> whenStored(String key) {
        Write pending = mPending.get(key);
        if (pending != null) {
            return pending.done();
        }
        for (Write write : mInFlight) {
            if (write.key().equals(key)) {
                return write.done();
            }
        }
        return CompletableFuture.completedFuture(null);
    }

    /** Returns whether the store has not responded for some time. */
    boolean isStalled(long nowMillis) {
        return !mInFlight.isEmpty() && nowMillis - mInFlightSinceMillis >= STALLED_MILLIS;
    }

    /**
     * Completes with whether the store has held the owner's term after this call; with false if the
     * store does not tell. Calls that come while the term is read share the next read.
     */
    CompletableFuture<Boolean> checkTerm() {
        CompletableFuture<Boolean> check = mNextTermCheck;
        if (check == null) {
            check = new CompletableFuture<>();
            mNextTermCheck = check;
            readTerm();
        }
        return check;
    }

    private void readTerm() {
        if (mTermCheckOpen || mNextTermCheck == null) {
            return;
        }
        CompletableFuture<Boolean> check = mNextTermCheck;
        mNextTermCheck = null;
        if (mClosed) {
            check.complete(false);
            return;
        }
        mTermCheckOpen = true;
        mStore.read(StoreLayout.OWNER_TERM)
                .whenComplete(
                        (term, failure) ->
                                mControl.execute(
                                        () -> {
                                            mTermCheckOpen = false;
                                            boolean current =
                                                    failure == null && isTermCurrent(term);
                                            check.complete(current);
                                            if (failure == null && !current && !mClosed) {
                                                mOnFenced.run();
                                            }
                                            readTerm();
                                        }));
    }

    private boolean isTermCurrent(Optional<StoredValue> term) {
        return term.filter(value -> value.modRevision() == mTermCondition.modRevision())
                .isPresent();
    }

    /** Ends all writing; pending futures never complete. */
    void close() {
        mClosed = true;
    }

    /** Completes when everything enqueued so far is stored. */
    CompletableFuture<Void> flush() {
        List<CompletableFuture<Void>> all = new ArrayList<>();
        mPending.values().forEach(write -> all.add(write.done()));
        mInFlight.forEach(write -> all.add(write.done()));
        return CompletableFuture.allOf(all.toArray(CompletableFuture[]::new));
    }

    private CompletableFuture<Void> enqueue(String key, ByteString value) {
        // A replaced write keeps its place, so that frequent changes of a record do not delay it.
        Write replaced = mPending.get(key);
        Write write =
                new Write(
                        key, value, replaced == null ? new CompletableFuture<>() : replaced.done());
        mPending.put(key, write);
        scheduleNext();
        return write.done();
    }

    private void scheduleNext() {
        if (mInFlight.isEmpty() && !mPending.isEmpty() && !mScheduled) {
            mScheduled = true;
            mControl.after("commit", LINGER_MILLIS, this::sendNext);
        }
    }

    private void sendNext() {
        mScheduled = false;
        if (mClosed || !mInFlight.isEmpty() || mPending.isEmpty()) {
            return;
        }
        List<Write> batch = new ArrayList<>();
        for (Write write : mPending.values()) {
            if (batch.size() < MAX_KEYS_PER_TRANSACTION) {
                batch.add(write);
            }
        }
        batch.forEach(write -> mPending.remove(write.key()));
        mInFlight = batch;
        mInFlightSinceMillis = mClocks.now();
        send();
    }

    private void send() {
        if (mClosed) {
            return;
        }
        List<Compare> conditions = new ArrayList<>();
        conditions.add(mTermCondition);
        List<Operation.Put> puts = new ArrayList<>();
        List<Operation.Delete> deletes = new ArrayList<>();
        for (Write write : mInFlight) {
            conditions.add(new Compare(write.key(), revisionOf(write.key())));
            if (write.value() == null) {
                deletes.add(new Operation.Delete(write.key()));
            } else {
                puts.add(new Operation.Put(write.key(), write.value()));
            }
        }
        mStore.commit(conditions, puts, deletes)
                .whenComplete(
                        (result, failure) ->
                                mControl.execute(
                                        () -> {
                                            if (failure == null) {
                                                onResult(result);
                                            } else {
                                                onFailure(failure);
                                            }
                                        }));
    }

    private void onResult(MetadataStore.CommitResult result) {
        if (mClosed) {
            return;
        }
        if (result.committed()) {
            mInFlight.forEach(write -> onStored(write, result.revision()));
            finishBatch();
            return;
        }
        Map<String, StoredValue> current = new HashMap<>();
        result.current().forEach(value -> current.put(value.key(), value));
        StoredValue term = current.get(StoreLayout.OWNER_TERM);
        if (term == null || term.modRevision() != mTermCondition.modRevision()) {
            mOnFenced.run();
            return;
        }
        List<Write> remaining = new ArrayList<>();
        for (Write write : mInFlight) {
            resolve(write, current.get(write.key()), remaining);
        }
        mInFlight = remaining;
        if (remaining.isEmpty()) {
            finishBatch();
        } else {
            send();
        }
    }

    /**
     * Completes a write of a rejected transaction if an earlier attempt has stored it; adds it to
     * the remaining ones otherwise.
     */
    private void resolve(Write write, StoredValue current, List<Write> remaining) {
        long revision = current == null ? Compare.ABSENT : current.modRevision();
        boolean changed = revision != revisionOf(write.key());
        mRevisions.put(write.key(), revision);
        boolean same =
                write.value() == null
                        ? current == null
                        : current != null && write.value().equals(current.value());
        if (changed && same) {
            onStored(write, revision);
        } else {
            remaining.add(write);
        }
    }

    private void onStored(Write write, long revision) {
        if (write.value() == null) {
            mRevisions.remove(write.key());
        } else {
            mRevisions.put(write.key(), revision);
        }
        write.done().complete(null);
    }

    private void finishBatch() {
        mInFlight = List.of();
        scheduleNext();
    }

    private void onFailure(Throwable failure) {
        if (mClosed) {
            return;
        }
        Logger.warn(
                "store: event=commit-unanswered records={} sinceMillis={} cause={}",
                mInFlight.size(),
                mClocks.now() - mInFlightSinceMillis,
                failure);
        mControl.after("commit retry", RETRY_MILLIS, this::send);
    }

    private long revisionOf(String key) {
        return mRevisions.getOrDefault(key, Compare.ABSENT);
    }
}
