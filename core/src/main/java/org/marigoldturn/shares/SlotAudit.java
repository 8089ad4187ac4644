package org.marigoldturn.shares;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a pool needs a new division of its slots because no responding daemon holds some of
 * them.
 *
 * <p>Slots are also missing while they are being transferred, so only a deficit that lasts counts.
 * Such a deficit is caused by a daemon that is paused or unreachable for long, and by rights
 * transferred to a daemon that ended before it could transfer them on. Not thread safe; used by the
 * control thread only.
 */
final class SlotAudit {
    /**
     * Time for which more than half of the slots must be missing. It exceeds the time after which a
     * lost transfer is sent again, {@code RightsLedger.RESEND_MILLIS}, and the validity of a
     * confirmation, so that the holder that does not respond has stopped starting requests.
     */
    static final long SEVERE_MILLIS = 5_000;

    /**
     * Time for which any number of slots must be missing. It is longer, because a new division can
     * oversubscribe hosts for a short time.
     */
    static final long MINOR_MILLIS = 60_000;

    private final Map<String, Long> mMissingSinceMillis = new HashMap<>();
    private final Map<String, Long> mSevereSinceMillis = new HashMap<>();

    /**
     * Returns whether slots of the pool are lost, so that they need a new division.
     *
     * @param slots number of slots of the hosts of the pool on which requests may start
     * @param held number of slots that the responding daemons have reported to hold
     */
    boolean hasLostSlots(String pool, int slots, int held, long nowMillis) {
        boolean minor = lasts(mMissingSinceMillis, pool, held < slots, MINOR_MILLIS, nowMillis);
        boolean severe =
                lasts(mSevereSinceMillis, pool, held * 2 < slots, SEVERE_MILLIS, nowMillis);
        return minor || severe;
    }

    /** Forgets all pools but the given ones, which this daemon coordinates. */
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
