package org.marigoldturn.daemon;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.marigoldturn.entry.DemandTimer;
import org.tinylog.Logger;

/**
 * The control thread of a daemon. All control state is changed by tasks of this loop only.
 *
 * <p>A task that throws is logged and does not end the loop. Tasks submitted after {@link #close}
 * are dropped. Thread safe.
 */
public final class ControlLoop implements Executor, AutoCloseable {
    private final ScheduledExecutorService mExecutor;

    /** Creates and starts the loop. */
    public ControlLoop() {
        ScheduledThreadPoolExecutor executor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "control");
                            thread.setDaemon(true);
                            return thread;
                        },
                        new ThreadPoolExecutor.DiscardPolicy());
        executor.setRemoveOnCancelPolicy(true);
        mExecutor = executor;
    }

    @Override
    public void execute(Runnable task) {
        mExecutor.execute(guarded("task", task));
    }

    /**
     * Runs a task repeatedly.
     *
     * @param name name of the task in log lines
     * @param intervalMillis time between the end of one run and the start of the next
     */
    public void every(String name, long intervalMillis, Runnable task) {
        var unused =
                mExecutor.scheduleWithFixedDelay(
                        guarded(name, task), 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns a timer of this loop that runs only while there is something to do. */
    public DemandTimer whileNeeded(long intervalMillis, Runnable task, BooleanSupplier needed) {
        return new DemandTimer(mExecutor, intervalMillis, task, needed);
    }

    /** Runs a task once after a delay. */
    public void after(String name, long delayMillis, Runnable task) {
        var unused = mExecutor.schedule(guarded(name, task), delayMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    private static Runnable guarded(String name, Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                Logger.error(e, "control: {} failed.", name);
            }
        };
    }
}
