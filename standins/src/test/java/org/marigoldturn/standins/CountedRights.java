package org.marigoldturn.standins;

import java.util.HashMap;
import java.util.Map;
import org.marigoldturn.rights.RightsHolder;

/** Rights in memory with limits; detects rights that are released more often than acquired. */
final class CountedRights implements RightsHolder {
    private final Map<String, Integer> mLimits = new HashMap<>();
    private final Map<String, Integer> mAcquired = new HashMap<>();
    private boolean mReleasedTooOften;

    synchronized void setLimit(String resource, int limit) {
        mLimits.put(resource, limit);
    }

    @Override
    public synchronized boolean tryAcquire(String resource) {
        if (free(resource) <= 0) {
            return false;
        }
        mAcquired.merge(resource, 1, Integer::sum);
        return true;
    }

    @Override
    public synchronized void release(String resource) {
        mReleasedTooOften |= mAcquired.merge(resource, -1, Integer::sum) < 0;
    }

    @Override
    public synchronized int free(String resource) {
        return mLimits.getOrDefault(resource, 0) - mAcquired.getOrDefault(resource, 0);
    }

    synchronized int acquired() {
        if (mReleasedTooOften) {
            throw new IllegalStateException("a right was released more often than acquired");
        }
        return mAcquired.values().stream().mapToInt(Integer::intValue).sum();
    }
}
