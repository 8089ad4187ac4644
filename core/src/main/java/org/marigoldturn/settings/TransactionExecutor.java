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
 * Executes transactions, and retries those whose response was lost.
 *
 * <p>Only for transactions that may be executed more than once: reads, writes of immutable values,
 * and conditional writes whose compares fail after the first execution. Thread safe.
 */
final class TransactionExecutor {
    private static final int MAX_ATTEMPTS = 6;

    /** Doubled after each attempt, so that the delays add up to 1550 ms. */
    static final long FIRST_RETRY_DELAY_MILLIS = 50;

    private final KeyValueStore mStore;
    private final long mFirstRetryDelayMillis;

    /**
     * Creates an executor.
     *
     * @param firstRetryDelayMillis delay before the first retry, doubled for each further one
     */
    TransactionExecutor(KeyValueStore store, long firstRetryDelayMillis) {
        mStore = store;
        mFirstRetryDelayMillis = firstRetryDelayMillis;
    }

    /**
     * Executes a transaction.
     *
     * @return the first response; fails with {@link StoreUnavailableException} if no attempt can
     *     have taken effect, and with {@link StoreOutcomeUnknownException} if one may have
     */
    CompletableFuture<TransactionResult> execute(Transaction transaction) {
        return attempt(transaction, 0, false);
    }

    private CompletableFuture<TransactionResult> attempt(
            Transaction transaction, int attempt, boolean unknownBefore) {
        return mStore.commit(transaction)
                .exceptionallyCompose(
                        failure -> afterFailure(transaction, attempt, unknownBefore, failure));
    }

    private CompletableFuture<TransactionResult> afterFailure(
            Transaction transaction, int attempt, boolean unknownBefore, Throwable failure) {
        Throwable cause = unwrap(failure);
        boolean outcomeUnknown = unknownBefore || cause instanceof StoreOutcomeUnknownException;
        if (!outcomeUnknown || !isRetryable(cause)) {
            return CompletableFuture.failedFuture(cause);
        }
        if (attempt + 1 >= MAX_ATTEMPTS) {
            return CompletableFuture.failedFuture(
                    new StoreOutcomeUnknownException(
                            "store sent no valid response in " + MAX_ATTEMPTS + " attempts",
                            cause));
        }
        Executor later =
                CompletableFuture.delayedExecutor(
                        mFirstRetryDelayMillis << attempt, TimeUnit.MILLISECONDS);
        return CompletableFuture.runAsync(() -> {}, later)
                .thenCompose(waited -> attempt(transaction, attempt + 1, true));
    }

    private static boolean isRetryable(Throwable cause) {
        return cause instanceof StoreOutcomeUnknownException
                || cause instanceof StoreUnavailableException;
    }

    /** Returns the failure without the {@link CompletionException} that futures add. */
    static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }

    /** Converts a failed read to a {@link SettingsException} with the same cause. */
    static SettingsException toSettingsException(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (cause instanceof SettingsException known) {
            return known;
        }
        String kind = cause instanceof StoreException ? "cannot read the store: " : "read failed: ";
        return new SettingsException(kind + cause.getMessage(), cause);
    }
}
