package org.marigoldturn.shares;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when the slots of a pool that no answering daemon holds must be divided anew.
 *
 * <p>Slots are missing while their transfer is under way, so only a lasting deficit counts. The
 * causes are a daemon that is paused or cut off for long, and rights given to a daemon that ended
 * before it could pass them on. Not thread safe; belongs to the control thread.
 */
final class SlotAudit {
    /**
     * Time after which a pool that lacks half of its slots gets them back. It exceeds the time for
     * which a lost transfer is missing, {@code RightsLedger.RESEND_MILLIS}, and the validity of a
     * confirmation, so that the silent holder has stopped starting work.
     */
    static final long SEVERE_MILLIS = 5_000;

    /** A new division can oversubscribe hosts for a short time, so a small loss waits longer. */
    static final long MINOR_MILLIS = 60_000;

    private final Map<String, Long> mMissingSinceMillis = new HashMap<>();
    private final Map<String, Long> mSevereSinceMillis = new HashMap<>();

    /**
     * Returns whether the slots of the pool must be divided anew.
     *
     * @param slots slots of the hosts of the pool on which work may start
     * @param held slots that the answering daemons have reported to hold
     */
    boolean isLost(String pool, int slots, int held, long nowMillis) {
        boolean minor = lasts(mMissingSinceMillis, pool, held < slots, MINOR_MILLIS, nowMillis);
        boolean severe =
                lasts(mSevereSinceMillis, pool, held * 2 < slots, SEVERE_MILLIS, nowMillis);
        return minor || severe;
    }

    /** Forgets the pools that another daemon coordinates. */
    void retain(Collection<String> pools) {
        mMissingSinceMillis.keySet().retainAll(pools);
        mSevereSinceMillis.keySet().retainAll(pools);
    }

    private static boolean lasts(
            Map<String, Long> since, String pool, boolean now, long millis, long nowMillis) {
        if (!now) {
            since.remove(pool);
            return false;
        }
        return nowMillis - since.computeIfAbsent(pool, p -> nowMillis) >= millis;
    }
}
