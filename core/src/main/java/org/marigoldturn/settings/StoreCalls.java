package org.marigoldturn.settings;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.marigoldturn.store.KeyValueStore;
import org.marigoldturn.store.StoreException;
import org.marigoldturn.store.StoreOutcomeUnknownException;
import org.marigoldturn.store.StoreUnavailableException;
import org.marigoldturn.store.Transaction;
import org.marigoldturn.store.TransactionResult;

/**
 * Repeats transactions whose answer was lost until one answer arrives.
 *
 * <p>Only for transactions that may be executed more than once: reads, writes of immutable values,
 * and writes guarded by compares that fail after the first execution. Thread safe.
 */
final class StoreCalls {
    private static final int MAX_ATTEMPTS = 6;

    /** Doubled at each attempt, so that all attempts wait 1550 ms in total. */
    static final long FIRST_DELAY_MILLIS = 50;

    private final KeyValueStore mStore;
    private final long mFirstDelayMillis;

    /**
     * Creates a caller.
     *
     * @param firstDelayMillis wait before the first repetition, doubled at each further one
     */
    StoreCalls(KeyValueStore store, long firstDelayMillis) {
        mStore = store;
        mFirstDelayMillis = firstDelayMillis;
    }

    /**
     * Executes a transaction.
     *
     * @return the first answer; fails with {@link StoreUnavailableException} if no attempt can have
     *     taken effect, and with {@link StoreOutcomeUnknownException} if one may have
     */
    CompletableFuture<TransactionResult> repeat(Transaction transaction) {
        return attempt(transaction, 0, false);
    }

    private CompletableFuture<TransactionResult> attempt(
            Transaction transaction, int attempt, boolean lostBefore) {
        return mStore.commit(transaction)
                .exceptionallyCompose(
                        failure -> afterFailure(transaction, attempt, lostBefore, failure));
    }

    private CompletableFuture<TransactionResult> afterFailure(
            Transaction transaction, int attempt, boolean lostBefore, Throwable failure) {
        Throwable cause = unwrap(failure);
        boolean lost = lostBefore || cause instanceof StoreOutcomeUnknownException;
        if (!lost || !isLossOrOutage(cause)) {
            return CompletableFuture.failedFuture(cause);
        }
        if (attempt + 1 >= MAX_ATTEMPTS) {
            return CompletableFuture.failedFuture(
                    new StoreOutcomeUnknownException(
                            "store gave no answer in " + MAX_ATTEMPTS + " attempts", cause));
        }
        Executor later =
                CompletableFuture.delayedExecutor(
                        mFirstDelayMillis << attempt, TimeUnit.MILLISECONDS);
        return CompletableFuture.runAsync(() -> {}, later)
                .thenCompose(waited -> attempt(transaction, attempt + 1, true));
    }

    private static boolean isLossOrOutage(Throwable cause) {
        return cause instanceof StoreOutcomeUnknownException
                || cause instanceof StoreUnavailableException;
    }

    /** Returns the failure without the wrapper that futures add. */
    static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }

    /** Converts a failure of a read to the settings layer, keeping the cause. */
    static SettingsException readFailure(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (cause instanceof SettingsException known) {
            return known;
        }
        String kind = cause instanceof StoreException ? "cannot read the store: " : "read failed: ";
        return new SettingsException(kind + cause.getMessage(), cause);
    }
}
