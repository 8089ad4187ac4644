package org.marigoldturn.rights;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts running requests against an allowance, the number that may run. Both are changed together
 * by compare-and-swap.
 *
 * <p>After a limit was lowered, the allowance may be below the number of running requests; no
 * request starts until enough of them have ended. Thread safe and lock-free.
 */
final class PermitCounter {
    private static final int ALLOWANCE_SHIFT = 32;

    /** Allowance in the upper 32 bits, running requests in the lower 32 bits. */
    private final AtomicLong mState = new AtomicLong();

    boolean tryAcquire() {
        while (true) {
            long state = mState.get();
            if (running(state) >= allowance(state)) {
                return false;
            }
            if (mState.compareAndSet(state, state + 1)) {
                return true;
            }
        }
    }

    void release(String resource) {
        while (true) {
            long state = mState.get();
            if (running(state) == 0) {
                throw new IllegalStateException(
                        "cannot release a right of "
                                + resource
                                + ": none is in use; release each acquired right once");
            }
            if (mState.compareAndSet(state, state - 1)) {
                return;
            }
        }
    }

    /** Sets the allowance unless more requests are running; returns whether it was set. */
    boolean tryLower(int allowance) {
        while (true) {
            long state = mState.get();
            if (running(state) > allowance) {
                return false;
            }
            if (mState.compareAndSet(state, pack(allowance, running(state)))) {
                return true;
            }
        }
    }

    void setAllowance(int allowance) {
        mState.updateAndGet(state -> pack(allowance, running(state)));
    }

    int running() {
        return running(mState.get());
    }

    int free() {
        long state = mState.get();
        return Math.max(0, allowance(state) - running(state));
    }

    private static long pack(int allowance, int running) {
        return ((long) allowance << ALLOWANCE_SHIFT) | running;
    }

    private static int allowance(long state) {
        return (int) (state >>> ALLOWANCE_SHIFT);
    }

    private static int running(long state) {
        return (int) state;
    }
}
