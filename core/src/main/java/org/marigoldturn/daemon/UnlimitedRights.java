package org.marigoldturn.daemon;

import org.marigoldturn.rights.RightsHolder;

/** Rights of a daemon that is not part of a member set: every right is free. */
final class UnlimitedRights implements RightsHolder {
    @Override
    public boolean tryAcquire(String resource) {
        return true;
    }

    @Override
    public void release(String resource) {
        // Nothing was taken.
    }

    @Override
    public int free(String resource) {
        return Integer.MAX_VALUE;
    }
}
