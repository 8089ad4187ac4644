package org.marigoldturn.rights;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Running requests and the number that may run, changed together by compare-and-swap.
 *
 * <p>The allowance may be below the number of running requests after a limit was lowered; nothing
 * starts until enough of them have ended. Thread safe and lock-free.
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
                throw new IllegalStateException("no right of " + resource + " is in use");
            }
            if (mState.compareAndSet(state, state - 1)) {
                return;
            }
        }
    }

    /** Sets the allowance unless more requests than that are running; returns whether it did. */
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
