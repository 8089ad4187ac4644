package org.marigoldturn.store;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * In-memory store with leases, whose calls complete immediately.
 *
 * <p>Each commit takes the next fault from a queue that the test fills. Each daemon may have its
 * own {@link Connection}, which can fail separately. Calls are thread safe; the queue of faults and
 * the content may only be used by the thread of the test.
 */
public final class FakeStore implements KeyValueStore {
    private static final int MAX_OPERATIONS = 100;

    /** Fault of one commit. */
    public enum Fault {
        NONE,
        /** The transaction takes effect and its response is lost. */
        LOSE_RESPONSE,
        /** The request is lost before it reaches the store. */
        LOSE_REQUEST,
        /** The response is lost and the transaction takes effect after the next call. */
        APPLY_LATE,
        /** The store refuses the connection. */
        REFUSE
    }

    private record Lease(long ttlMillis, long renewedAtMillis) {
        boolean hasExpired(long nowMillis) {
            return nowMillis - renewedAtMillis >= ttlMillis;
        }
    }

    private final TreeMap<String, StoredValue> mValues = new TreeMap<>();
    private final Map<String, Long> mLeaseOfKey = new HashMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Deque<Fault> mFaults = new ArrayDeque<>();
    private final List<Transaction> mCalls = new ArrayList<>();
    private final List<Transaction> mDelayed = new ArrayList<>();
    private final LongSupplier mNowMillis;
    private Runnable mBeforeCommit = () -> {};
    private TreeMap<String, StoredValue> mStale;
    private long mRevision = 1;

    /** Creates a store whose leases never expire by time. */
    public FakeStore() {
        this(() -> 0);
    }

    /** Creates a store whose leases expire by the given clock. */
    public FakeStore(LongSupplier nowMillis) {
        mNowMillis = nowMillis;
    }

    /** Returns the mutable queue of the faults of the next commits. */
    public Deque<Fault> faults() {
        return mFaults;
    }

    /** Returns the present content by key. */
    public NavigableMap<String, StoredValue> values() {
        return mValues;
    }

    /** Returns all transactions that were sent. */
    public List<Transaction> calls() {
        return mCalls;
    }

    /** Runs an action once before the next conditional write, to interleave another actor. */
    public void beforeCommit(Runnable action) {
        mBeforeCommit = action;
    }

    /** Makes read-only transactions return the content as of this call until called with false. */
    public synchronized void setStaleReads(boolean stale) {
        mStale = stale ? new TreeMap<>(mValues) : null;
    }

    /** Writes a value at the present revision. */
    public synchronized void put(String key, ByteString value) {
        StoredValue old = mValues.get(key);
        long created = old == null ? mRevision : old.createRevision();
        mValues.put(key, new StoredValue(key, value, created, mRevision));
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
            CompletableFuture<TransactionResult> response = commitWithFault(transaction, fault);
            if (fault != Fault.APPLY_LATE) {
                mDelayed.forEach(this::execute);
                mDelayed.clear();
            }
            return response;
        }
    }

    @Override
    public synchronized CompletableFuture<Long> grantLease(long ttlMillis) {
        long id = mLeases.size() + 1L;
        mLeases.put(id, new Lease(ttlMillis, mNowMillis.getAsLong()));
        return CompletableFuture.completedFuture(id);
    }

    @Override
    public synchronized CompletableFuture<Void> keepLeaseAlive(long leaseId) {
        return completeOrFailOnExpiredLease(
                () -> {
                    long ttlMillis = requireLease(leaseId).ttlMillis();
                    mLeases.put(leaseId, new Lease(ttlMillis, mNowMillis.getAsLong()));
                    return null;
                });
    }

    @Override
    public synchronized CompletableFuture<Void> revokeLease(long leaseId) {
        mLeases.put(leaseId, new Lease(0, mNowMillis.getAsLong()));
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Watch watch(String key, long afterRevision, WatchListener listener) {
        throw new UnsupportedOperationException(
                "FakeStore has no watches; test them with the stand-in store");
    }

    @Override
    public void close() {}

    private CompletableFuture<TransactionResult> commitWithFault(
            Transaction transaction, Fault fault) {
        return switch (fault) {
            case NONE -> completeOrFailOnExpiredLease(() -> execute(transaction));
            case LOSE_RESPONSE -> {
                execute(transaction);
                yield lost("response lost by injected fault");
            }
            case LOSE_REQUEST -> lost("request lost by injected fault");
            case APPLY_LATE -> {
                mDelayed.add(transaction);
                yield lost("response lost by injected fault");
            }
            case REFUSE -> unavailable("connection refused by injected fault");
        };
    }

    private static <T> CompletableFuture<T> completeOrFailOnExpiredLease(Supplier<T> call) {
        try {
            return CompletableFuture.completedFuture(call.get());
        } catch (LeaseExpiredException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static <T> CompletableFuture<T> lost(String message) {
        return CompletableFuture.failedFuture(new StoreOutcomeUnknownException(message, null));
    }

    private static <T> CompletableFuture<T> unavailable(String message) {
        return CompletableFuture.failedFuture(new StoreUnavailableException(message, null));
    }

    private TransactionResult execute(Transaction transaction) {
        deleteKeysOfExpiredLeases();
        boolean write = isWrite(transaction);
        NavigableMap<String, StoredValue> view = !write && mStale != null ? mStale : mValues;
        boolean holds = transaction.compares().stream().allMatch(c -> holds(c, view));
        List<Operation> branch = holds ? transaction.onSuccess() : transaction.onFailure();
        requireValid(transaction, branch);
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
            if (put.leaseId() != Operation.NO_LEASE) {
                mLeaseOfKey.put(put.key(), put.leaseId());
            }
        } else if (operation instanceof Operation.Delete delete) {
            mValues.remove(delete.key());
        }
    }

    /** Checks a branch before it takes effect, so that a rejected one changes nothing. */
    private void requireValid(Transaction transaction, List<Operation> branch) {
        if (branch.size() > MAX_OPERATIONS || transaction.compares().size() > MAX_OPERATIONS) {
            throw new IllegalArgumentException(
                    "a transaction may have at most "
                            + MAX_OPERATIONS
                            + " operations and compares, not "
                            + branch.size()
                            + " and "
                            + transaction.compares().size());
        }
        for (Operation operation : branch) {
            if (operation instanceof Operation.Put put && put.leaseId() != Operation.NO_LEASE) {
                requireLease(put.leaseId());
            }
        }
    }

    private Lease requireLease(long leaseId) {
        Lease lease = mLeases.get(leaseId);
        if (lease == null || lease.hasExpired(mNowMillis.getAsLong())) {
            throw new LeaseExpiredException("lease " + leaseId + " has expired");
        }
        return lease;
    }

    private void deleteKeysOfExpiredLeases() {
        mLeaseOfKey
                .entrySet()
                .removeIf(
                        entry -> {
                            Lease lease = mLeases.get(entry.getValue());
                            boolean expired = lease.hasExpired(mNowMillis.getAsLong());
                            if (expired) {
                                mValues.remove(entry.getKey());
                            }
                            return expired;
                        });
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

    /** Connection of one daemon, which can be interrupted or lose all responses. */
    public final class Connection implements KeyValueStore {
        private volatile boolean mReachable = true;
        private volatile boolean mLosesResponses;

        /** Sets whether calls reach the store. */
        public void setReachable(boolean reachable) {
            mReachable = reachable;
        }

        /** Returns whether calls reach the store. */
        public boolean isReachable() {
            return mReachable;
        }

        /** Sets whether the responses of calls that take effect are lost. */
        public void setLosesResponses(boolean losesResponses) {
            mLosesResponses = losesResponses;
        }

        @Override
        public CompletableFuture<TransactionResult> commit(Transaction transaction) {
            return call(() -> FakeStore.this.commit(transaction));
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMillis) {
            return call(() -> FakeStore.this.grantLease(ttlMillis));
        }

        @Override
        public CompletableFuture<Void> keepLeaseAlive(long leaseId) {
            return call(() -> FakeStore.this.keepLeaseAlive(leaseId));
        }

        @Override
        public CompletableFuture<Void> revokeLease(long leaseId) {
            return call(() -> FakeStore.this.revokeLease(leaseId));
        }

        @Override
        public Watch watch(String key, long afterRevision, WatchListener listener) {
            return FakeStore.this.watch(key, afterRevision, listener);
        }

        @Override
        public void close() {}

        private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> action) {
            if (!mReachable) {
                return unavailable("connection is interrupted");
            }
            CompletableFuture<T> response = action.get();
            return mLosesResponses && !response.isCompletedExceptionally()
                    ? lost("response lost")
                    : response;
        }
    }
}
