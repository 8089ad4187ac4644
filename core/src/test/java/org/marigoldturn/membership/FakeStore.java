package org.marigoldturn.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.marigoldturn.platform.KeyValueStore;
import org.marigoldturn.platform.LeaseExpiredException;
import org.marigoldturn.platform.Operation;
import org.marigoldturn.platform.StoreOutcomeUnknownException;
import org.marigoldturn.platform.StoreUnavailableException;
import org.marigoldturn.platform.StoredValue;
import org.marigoldturn.platform.Transaction;
import org.marigoldturn.platform.TransactionResult;

/** Transactions and leases in memory; each daemon has a connection that can fail. Thread safe. */
final class FakeStore {
    private final Map<String, StoredValue> mValues = new TreeMap<>();
    private final Map<String, Long> mLeaseOfKey = new TreeMap<>();
    private final Map<Long, long[]> mLeases = new TreeMap<>();
    private final LongSupplier mClockMillis;
    private long mRevision;

    FakeStore(LongSupplier clockMillis) {
        mClockMillis = clockMillis;
    }

    /** Connection of one daemon. */
    final class Connection implements KeyValueStore {
        volatile boolean mReachable = true;
        volatile boolean mLosesReplies;

        @Override
        public CompletableFuture<TransactionResult> commit(Transaction transaction) {
            return call(() -> apply(transaction));
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMillis) {
            return call(
                    () -> {
                        long id = mLeases.size() + 1L;
                        mLeases.put(id, new long[] {ttlMillis, mClockMillis.getAsLong()});
                        return id;
                    });
        }

        @Override
        public CompletableFuture<Void> keepLeaseAlive(long leaseId) {
            return call(
                    () -> {
                        requireLease(leaseId)[1] = mClockMillis.getAsLong();
                        return null;
                    });
        }

        @Override
        public CompletableFuture<Void> revokeLease(long leaseId) {
            return call(
                    () -> {
                        mLeases.get(leaseId)[0] = 0;
                        return null;
                    });
        }

        @Override
        public Watch watch(String key, long afterRevision, WatchListener listener) {
            throw new UnsupportedOperationException("not needed by these tests");
        }

        @Override
        public void close() {}

        private <T> CompletableFuture<T> call(java.util.function.Supplier<T> action) {
            if (!mReachable) {
                return CompletableFuture.failedFuture(
                        new StoreUnavailableException("cut off", null));
            }
            synchronized (FakeStore.this) {
                try {
                    dropEndedLeases();
                    T result = action.get();
                    return mLosesReplies
                            ? CompletableFuture.failedFuture(
                                    new StoreOutcomeUnknownException("reply lost", null))
                            : CompletableFuture.completedFuture(result);
                } catch (LeaseExpiredException e) {
                    return CompletableFuture.failedFuture(e);
                }
            }
        }
    }

    private void dropEndedLeases() {
        mLeaseOfKey
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean ended = isEnded(entry.getValue());
                            if (ended) {
                                mValues.remove(entry.getKey());
                            }
                            return ended;
                        });
    }

    private boolean isEnded(long leaseId) {
        long[] lease = mLeases.get(leaseId);
        return mClockMillis.getAsLong() - lease[1] >= lease[0];
    }

    private long[] requireLease(long leaseId) {
        if (isEnded(leaseId)) {
            throw new LeaseExpiredException("lease " + leaseId + " has ended");
        }
        return mLeases.get(leaseId);
    }

    private TransactionResult apply(Transaction transaction) {
        boolean holds =
                transaction.compares().stream().allMatch(c -> revision(c.key()) == c.modRevision());
        List<List<StoredValue>> reads = new ArrayList<>();
        for (Operation step : holds ? transaction.onSuccess() : transaction.onFailure()) {
            if (step instanceof Operation.Read read) {
                StoredValue value = mValues.get(read.key());
                reads.add(value == null ? List.of() : List.of(value));
            } else if (step instanceof Operation.Put put) {
                put(put);
            }
        }
        return new TransactionResult(holds, mRevision, reads);
    }

    private void put(Operation.Put put) {
        if (put.leaseId() != Operation.NO_LEASE) {
            requireLease(put.leaseId());
            mLeaseOfKey.put(put.key(), put.leaseId());
        }
        mRevision++;
        mValues.put(put.key(), new StoredValue(put.key(), put.value(), mRevision, mRevision));
    }

    private long revision(String key) {
        return mValues.containsKey(key) ? mValues.get(key).modRevision() : 0;
    }
}
