package org.marigoldturn.entry;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory for the request bodies that wait in this daemon. Thread safe. */
final class BodyBudget {
    /** A quarter of the memory that a daemon may use. */
    static final long MAX_BYTES = 64L << 20;

    private final AtomicLong mUsedBytes = new AtomicLong();

    /** Takes room for a body; returns false if there is none. */
    boolean tryTake(long bytes) {
        if (mUsedBytes.addAndGet(bytes) <= MAX_BYTES) {
            return true;
        }
        mUsedBytes.addAndGet(-bytes);
        return false;
    }

    void giveBack(long bytes) {
        mUsedBytes.addAndGet(-bytes);
    }
}
