package org.marigoldturn.admission;

import java.util.HashMap;
import java.util.Map;
import org.marigoldturn.rights.RightsHolder;

/** Fake with a fixed number of rights for each resource; by default practically unlimited. */
public final class FakeRights implements RightsHolder {
    private final Map<String, Integer> mFree = new HashMap<>();

    /** Sets the number of free rights of a resource. */
    public synchronized FakeRights with(String resource, int free) {
        mFree.put(resource, free);
        return this;
    }

    @Override
    public synchronized boolean tryAcquire(String resource) {
        int free = free(resource);
        if (free <= 0) {
            return false;
        }
        mFree.computeIfPresent(resource, (r, f) -> f - 1);
        return true;
    }

    @Override
    public synchronized void release(String resource) {
        mFree.computeIfPresent(resource, (r, f) -> f + 1);
    }

    @Override
    public synchronized int free(String resource) {
        return mFree.getOrDefault(resource, 1_000_000);
    }
}
