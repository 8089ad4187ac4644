package org.marigoldturn.store;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the platform's key-value service.
 *
 * <p>Reads and transactions are linearizable unless the service is faulty; callers must not rely on
 * reads alone to decide that a value is current. Implementations are thread safe and never block.
 * Futures complete exceptionally with a {@link StoreException}.
 *
 * @see StoreUnavailableException
 * @see StoreOutcomeUnknownException
 */
public interface KeyValueStore extends AutoCloseable {

    /** Commits a transaction atomically; exactly one of its two branches is executed. */
    CompletableFuture<TransactionResult> commit(Transaction transaction);

    /**
     * Grants a lease that expires {@code ttlMillis} after its last renewal. Rounded up to seconds.
     */
    CompletableFuture<Long> grantLease(long ttlMillis);

    /** Renews a lease; fails with {@link LeaseExpiredException} if it has expired. */
    CompletableFuture<Void> keepLeaseAlive(long leaseId);

    /** Revokes a lease and deletes the keys attached to it. */
    CompletableFuture<Void> revokeLease(long leaseId);

    /**
     * Watches one key for values newer than {@code afterRevision}.
     *
     * <p>The watch reports its own end once; the caller decides whether to open another one.
     */
    Watch watch(String key, long afterRevision, WatchListener listener);

    @Override
    void close();

    /** Handle of an open watch. */
    interface Watch {
        /** Ends the watch; the listener receives no further calls. */
        void cancel();
    }

    /** Receives the values of a watched key. Calls arrive in revision order. */
    interface WatchListener {
        /** Reports a new value. */
        void onValue(StoredValue value);

        /** Reports that the watch has ended with the given cause. */
        void onEnd(StoreException cause);
    }
}
