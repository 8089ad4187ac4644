package org.marigoldturn.entry;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * Runs a task at an interval only while there is something to do, so that an idle daemon is not
 * woken. Whoever creates something to do calls {@link #arm} after it. Thread safe.
 */
public final class DemandTimer implements AutoCloseable {
    private final ScheduledExecutorService mExecutor;
    private final long mIntervalMillis;
    private final Runnable mTask;
    private final BooleanSupplier mNeeded;
    private final AtomicBoolean mArmed = new AtomicBoolean();
    private volatile boolean mClosed;

    /**
     * Creates a timer that is not armed.
     *
     * @param executor runs the task
     * @param intervalMillis time from {@link #arm} or the end of a run to the next run
     * @param needed whether there is something to do; called on any thread
     */
    public DemandTimer(
            ScheduledExecutorService executor,
            long intervalMillis,
            Runnable task,
            BooleanSupplier needed) {
        mExecutor = executor;
        mIntervalMillis = intervalMillis;
        mTask = task;
        mNeeded = needed;
    }

    /** Makes the task run until nothing is left to do. Cheap if it is armed already. */
    public void arm() {
        if (!mArmed.get() && mArmed.compareAndSet(false, true)) {
            schedule();
        }
    }

    @Override
    public void close() {
        mClosed = true;
    }

    private void schedule() {
        if (!mClosed) {
            var unused = mExecutor.schedule(this::run, mIntervalMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void run() {
        if (mClosed) {
            return;
        }
        try {
            mTask.run();
        } catch (RuntimeException e) {
            Logger.error(e, "control: task of a timer failed.");
        }
        if (mNeeded.getAsBoolean()) {
            schedule();
            return;
        }
        mArmed.set(false);
        // Something may have been added after the check by a caller that found the timer armed.
        if (mNeeded.getAsBoolean()) {
            arm();
        }
    }
}
