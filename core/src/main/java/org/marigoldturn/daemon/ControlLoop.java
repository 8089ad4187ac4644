package org.marigoldturn.daemon;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.marigoldturn.entry.OnDemandTimer;
import org.tinylog.Logger;

/**
 * Executor with the control thread of a daemon. Control state is changed only by tasks of this
 * executor.
 *
 * <p>An exception or error that a task throws is logged and does not end the thread; a repeated
 * task runs again. Tasks submitted after {@link #close} are discarded. Thread safe.
 */
public final class ControlLoop implements Executor, AutoCloseable {
    private final ScheduledExecutorService mExecutor;

    /** Creates an executor without tasks. */
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
     * @param intervalMillis time from the end of one run to the start of the next
     */
    public void every(String name, long intervalMillis, Runnable task) {
        var unused =
                mExecutor.scheduleWithFixedDelay(
                        guarded(name, task), 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns a timer on the control thread that runs only while there is work for its task. */
    public OnDemandTimer whileNeeded(long intervalMillis, Runnable task, BooleanSupplier needed) {
        return new OnDemandTimer(mExecutor, intervalMillis, task, needed);
    }

    /**
     * Runs a task once after a delay.
     *
     * @param name name of the task in log lines
     */
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
            } catch (RuntimeException | Error e) {
                // The executor would drop an error without a trace and end a repeated task.
                Logger.error(e, "control: {} failed; the control thread continues.", name);
            }
        };
    }
}
