package org.marigoldturn.coordination;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Computes how long a daemon waits before it attempts to take over a vacant ownership, so that the
 * daemon that suits best attempts first. Stateless.
 */
final class TakeoverDelay {
    /**
     * Spreads the takeover attempts of several daemons, since most simultaneous attempts would
     * fail.
     */
    private static final long MAX_JITTER_MILLIS = 60;

    /**
     * Delay of a takeover attempt per second of the daemon's age. It favours daemons that were
     * started recently: during a rolling restart they will not be stopped again soon.
     */
    private static final long AGE_DELAY_MILLIS_PER_SECOND = 5;

    /** Limits the delay of a takeover when no daemon was started recently. */
    private static final long MAX_AGE_DELAY_MILLIS = 120;

    /**
     * Delay of a takeover attempt for each core that a daemon's host has less than {@link
     * #AMPLE_CORES}. One owner serves all targets, and a slow one takes long to read them.
     */
    private static final double DELAY_MILLIS_PER_MISSING_CORE = 250;

    /** Cores beyond these give a daemon no further advantage. */
    private static final double AMPLE_CORES = 1.0;

    private TakeoverDelay() {}

    /** Returns a part of the delay that spreads daemons of the same kind. */
    static long randomJitterMillis() {
        return ThreadLocalRandom.current().nextLong(MAX_JITTER_MILLIS);
    }

    /**
     * Returns the delay.
     *
     * @param ageMillis time since the daemon's start
     * @param cores processing power of its host, in cores
     * @param jitterMillis part that spreads daemons of the same kind
     */
    static long millis(long ageMillis, double cores, long jitterMillis) {
        long byAgeMillis = ageMillis * AGE_DELAY_MILLIS_PER_SECOND / 1_000;
        double missingCores = Math.max(0, AMPLE_CORES - cores);
        long byCoresMillis = Math.round(missingCores * DELAY_MILLIS_PER_MISSING_CORE);
        return Math.min(MAX_AGE_DELAY_MILLIS, byAgeMillis) + byCoresMillis + jitterMillis;
    }
}
