package org.marigoldturn.standins;

import java.util.HashMap;
import java.util.Map;
import org.marigoldturn.rights.RightsHolder;

/** Rights with limits that fails when more are released than were taken. */
final class CountedRights implements RightsHolder {
    private final Map<String, Integer> mLimits = new HashMap<>();
    private final Map<String, Integer> mTaken = new HashMap<>();
    private boolean mReleasedTooOften;

    synchronized void limit(String resource, int limit) {
        mLimits.put(resource, limit);
    }

    @Override
    public synchronized boolean tryAcquire(String resource) {
        if (free(resource) <= 0) {
            return false;
        }
        mTaken.merge(resource, 1, Integer::sum);
        return true;
    }

    @Override
    public synchronized void release(String resource) {
        mReleasedTooOften |= mTaken.merge(resource, -1, Integer::sum) < 0;
    }

    @Override
    public synchronized int free(String resource) {
        return mLimits.getOrDefault(resource, 0) - mTaken.getOrDefault(resource, 0);
    }

    synchronized int taken() {
        if (mReleasedTooOften) {
            throw new IllegalStateException("a right was released more often than taken");
        }
        return mTaken.values().stream().mapToInt(Integer::intValue).sum();
    }
}
