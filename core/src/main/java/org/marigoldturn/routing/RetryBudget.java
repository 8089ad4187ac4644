package org.marigoldturn.routing;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits retries to a tenth of the requests of this daemon, plus a burst. Thread safe.
 *
 * <p>Invariant: the number of granted retries is at most {@code requests / 10 + BURST_RETRIES}.
 */
public final class RetryBudget {
    /** Number of retries allowed without preceding requests, for daemons with little traffic. */
    public static final int BURST_RETRIES = 10;

    private static final int TOKENS_PER_RETRY = 10;
    private static final int MAX_TOKENS = BURST_RETRIES * TOKENS_PER_RETRY;

    private final AtomicInteger mTokens = new AtomicInteger(MAX_TOKENS);

    /** Counts a request that was dispatched for the first time. */
    public void onRequest() {
        mTokens.accumulateAndGet(1, (tokens, one) -> Math.min(MAX_TOKENS, tokens + one));
    }

    /** Takes one retry from the budget; returns false if the budget is used up. */
    public boolean tryRetry() {
        int before =
                mTokens.getAndUpdate(
                        tokens -> tokens < TOKENS_PER_RETRY ? tokens : tokens - TOKENS_PER_RETRY);
        return before >= TOKENS_PER_RETRY;
    }
}
