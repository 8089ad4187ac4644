package org.marigoldturn.entry;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory that the buffered request bodies of this daemon use. Thread safe. */
final class BodyBudget {
    /** A quarter of the memory that a daemon may use. */
    static final long MAX_BYTES = 64L << 20;

    private final AtomicLong mUsedBytes = new AtomicLong();

    /** Reserves memory for a body; returns false if the limit would be exceeded. */
    boolean tryReserve(long bytes) {
        if (mUsedBytes.addAndGet(bytes) <= MAX_BYTES) {
            return true;
        }
        mUsedBytes.addAndGet(-bytes);
        return false;
    }

    /** Releases memory that {@link #tryReserve} reserved. */
    void release(long bytes) {
        mUsedBytes.addAndGet(-bytes);
    }
}
