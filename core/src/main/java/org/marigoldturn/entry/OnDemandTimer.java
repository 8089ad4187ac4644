package org.marigoldturn.entry;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * Runs a task at an interval, but only while there is work for it, so that an idle daemon does not
 * wake up. Code that adds work calls {@link #arm} afterwards. The task then runs at once if its
 * last run ended at least one interval ago, so work waits no longer than with a timer that always
 * runs. A task that throws is logged and runs again while there is work. Thread safe.
 */
public final class OnDemandTimer implements AutoCloseable {
    private final ScheduledExecutorService mExecutor;
    private final long mIntervalNanos;
    private final Runnable mTask;
    private final BooleanSupplier mNeeded;
    private final AtomicBoolean mArmed = new AtomicBoolean();
    private volatile boolean mClosed;
    private volatile long mEarliestNanos = System.nanoTime();

    /**
     * Creates a timer that is not armed.
     *
     * @param executor runs the task
     * @param intervalMillis shortest time from the end of one run to the start of the next
     * @param needed whether there is work for the task; called on any thread
     */
    public OnDemandTimer(
            ScheduledExecutorService executor,
            long intervalMillis,
            Runnable task,
            BooleanSupplier needed) {
        mExecutor = executor;
        mIntervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
        mTask = task;
        mNeeded = needed;
    }

    /** Makes the task run until no work is left. Cheap if the timer is already armed. */
    public void arm() {
        if (!mArmed.get() && mArmed.compareAndSet(false, true)) {
            schedule(Math.max(0, mEarliestNanos - System.nanoTime()));
        }
    }

    @Override
    public void close() {
        mClosed = true;
    }

    private void schedule(long delayNanos) {
        if (!mClosed) {
            var unused = mExecutor.schedule(this::run, delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void run() {
        if (mClosed) {
            return;
        }
        try {
            mTask.run();
        } catch (RuntimeException e) {
            Logger.error(e, "control: the task of a timer failed; the timer continues.");
        }
        mEarliestNanos = System.nanoTime() + mIntervalNanos;
        if (mNeeded.getAsBoolean()) {
            schedule(mIntervalNanos);
            return;
        }
        mArmed.set(false);
        // Work that was added after the first check found the timer armed, so check once more.
        if (mNeeded.getAsBoolean()) {
            arm();
        }
    }
}
