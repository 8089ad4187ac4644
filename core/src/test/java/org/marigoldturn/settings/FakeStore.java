package org.marigoldturn.settings;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.marigoldturn.platform.Compare;
import org.marigoldturn.platform.KeyValueStore;
import org.marigoldturn.platform.Operation;
import org.marigoldturn.platform.StoreOutcomeUnknownException;
import org.marigoldturn.platform.StoreUnavailableException;
import org.marigoldturn.platform.StoredValue;
import org.marigoldturn.platform.Transaction;
import org.marigoldturn.platform.TransactionResult;

/** In-memory store that answers at once and takes one fault per call from a plan. */
final class FakeStore implements KeyValueStore {
    /** What happens to one call. */
    enum Fault {
        NONE,
        /** The transaction takes effect and its answer is lost. */
        LOSE_ANSWER,
        /** The transaction is lost on its way. */
        LOSE_REQUEST,
        /** The answer is lost and the transaction takes effect after the next call. */
        APPLY_LATE,
        /** The service refuses the connection. */
        REFUSE
    }

    final TreeMap<String, StoredValue> mValues = new TreeMap<>();
    final Deque<Fault> mFaults = new ArrayDeque<>();
    final List<Transaction> mCalls = new ArrayList<>();

    /** Runs once before the next conditional write takes effect, to interleave another actor. */
    Runnable mBeforeCommit = () -> {};

    private TreeMap<String, StoredValue> mStale;
    private final List<Transaction> mLate = new ArrayList<>();
    private long mRevision = 1;

    /** Lets read-only transactions answer from the present content until called with false. */
    synchronized void setStaleReads(boolean stale) {
        mStale = stale ? new TreeMap<>(mValues) : null;
    }

    @Override
    public CompletableFuture<TransactionResult> commit(Transaction transaction) {
        if (isWrite(transaction) && !transaction.compares().isEmpty()) {
            Runnable before = mBeforeCommit;
            mBeforeCommit = () -> {};
            before.run();
        }
        synchronized (this) {
            mCalls.add(transaction);
            Fault fault = mFaults.isEmpty() ? Fault.NONE : mFaults.poll();
            CompletableFuture<TransactionResult> answer = answer(transaction, fault);
            if (fault != Fault.APPLY_LATE) {
                mLate.forEach(this::execute);
                mLate.clear();
            }
            return answer;
        }
    }

    private CompletableFuture<TransactionResult> answer(Transaction transaction, Fault fault) {
        return switch (fault) {
            case NONE -> CompletableFuture.completedFuture(execute(transaction));
            case LOSE_ANSWER -> {
                execute(transaction);
                yield lost();
            }
            case LOSE_REQUEST -> lost();
            case APPLY_LATE -> {
                mLate.add(transaction);
                yield lost();
            }
            case REFUSE ->
                    CompletableFuture.failedFuture(
                            new StoreUnavailableException("refused by plan", null));
        };
    }

    private static CompletableFuture<TransactionResult> lost() {
        return CompletableFuture.failedFuture(
                new StoreOutcomeUnknownException("lost by plan", null));
    }

    private TransactionResult execute(Transaction transaction) {
        boolean write = isWrite(transaction);
        NavigableMap<String, StoredValue> view = !write && mStale != null ? mStale : mValues;
        boolean holds = transaction.compares().stream().allMatch(c -> holds(c, view));
        List<Operation> branch = holds ? transaction.onSuccess() : transaction.onFailure();
        if (branch.size() > 100 || transaction.compares().size() > 100) {
            throw new IllegalArgumentException(branch.size() + " operations in one transaction");
        }
        if (branch.stream().anyMatch(FakeStore::isWrite)) {
            mRevision++;
        }
        List<List<StoredValue>> reads = new ArrayList<>();
        branch.forEach(operation -> execute(operation, view, reads));
        return new TransactionResult(holds, mRevision, reads);
    }

    private void execute(
            Operation operation,
            NavigableMap<String, StoredValue> view,
            List<List<StoredValue>> reads) {
        if (operation instanceof Operation.Read read) {
            StoredValue value = view.get(read.key());
            reads.add(value == null ? List.of() : List.of(value));
        } else if (operation instanceof Operation.ReadPrefix read) {
            Predicate<StoredValue> matches = v -> v.key().startsWith(read.prefix());
            reads.add(view.tailMap(read.prefix()).values().stream().filter(matches).toList());
        } else if (operation instanceof Operation.Put put) {
            put(put.key(), put.value());
        } else if (operation instanceof Operation.Delete delete) {
            mValues.remove(delete.key());
        }
    }

    void put(String key, ByteString value) {
        StoredValue old = mValues.get(key);
        long created = old == null ? mRevision : old.createRevision();
        mValues.put(key, new StoredValue(key, value, created, mRevision));
    }

    private static boolean holds(Compare compare, NavigableMap<String, StoredValue> view) {
        StoredValue value = view.get(compare.key());
        return (value == null ? Compare.ABSENT : value.modRevision()) == compare.modRevision();
    }

    private static boolean isWrite(Transaction transaction) {
        return transaction.onSuccess().stream().anyMatch(FakeStore::isWrite);
    }

    private static boolean isWrite(Operation operation) {
        return operation instanceof Operation.Put || operation instanceof Operation.Delete;
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
        return CompletableFuture.completedFuture(1L);
    }

    @Override
    public CompletableFuture<Void> keepLeaseAlive(long leaseId) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> revokeLease(long leaseId) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Watch watch(String key, long afterRevision, WatchListener listener) {
        throw new UnsupportedOperationException("watches are tested with the stand-in");
    }

    @Override
    public void close() {}
}
