package org.marigoldturn.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Guards against a timer that stops while there is work, and one that never stops. */
class OnDemandTimerTest {
    private static final int THREADS = 4;
    private static final int ADDITIONS = 5_000;
    private static final long LIMIT_SECONDS = 60;

    private final ScheduledThreadPoolExecutor mExecutor = new ScheduledThreadPoolExecutor(1);
    private final AtomicInteger mWaiting = new AtomicInteger();

    @AfterTry
    void close() {
        mExecutor.shutdownNow();
    }

    @Example
    void workAddedAtAnyTimeIsDone() throws InterruptedException, ExecutionException {
        OnDemandTimer timer =
                new OnDemandTimer(mExecutor, 0, () -> mWaiting.set(0), () -> mWaiting.get() > 0);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            Thread thread =
                    new Thread(
                            () -> {
                                for (int n = 0; n < ADDITIONS; n++) {
                                    mWaiting.incrementAndGet();
                                    timer.arm();
                                }
                            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        awaitStop(() -> mWaiting.get() == 0);
    }

    @Example
    void failingTaskRunsAgainAndAClosedTimerDoesNot()
            throws InterruptedException, ExecutionException {
        AtomicInteger runs = new AtomicInteger();
        mWaiting.set(1);
        OnDemandTimer timer =
                new OnDemandTimer(
                        mExecutor,
                        0,
                        () -> {
                            if (runs.incrementAndGet() < 3) {
                                throw new IllegalStateException("expected by the test");
                            }
                            mWaiting.set(0);
                        },
                        () -> mWaiting.get() > 0);
        timer.arm();
        awaitStop(() -> mWaiting.get() == 0);
        assertThat(runs).hasValue(3);
        timer.close();
        mWaiting.set(1);
        timer.arm();
        awaitStop(() -> true);
        assertThat(runs).hasValue(3);
    }

    /**
     * Guards against a first run that is delayed by an interval, and against runs without pause.
     */
    @Example
    void firstRunIsAtOnceAndTheNextAfterTheInterval()
            throws InterruptedException, ExecutionException {
        OnDemandTimer timer =
                new OnDemandTimer(
                        mExecutor,
                        TimeUnit.HOURS.toMillis(1),
                        () -> mWaiting.set(0),
                        () -> mWaiting.get() > 0);
        mWaiting.set(1);
        timer.arm();
        awaitStop(() -> mWaiting.get() == 0);
        mWaiting.set(1);
        timer.arm();
        mExecutor.submit(() -> {}).get();
        assertThat(mWaiting).hasValue(1);
        assertThat(mExecutor.getQueue()).hasSize(1);
    }

    /** Waits until the condition holds, and checks that the timer then stops. */
    private void awaitStop(BooleanSupplier condition)
            throws InterruptedException, ExecutionException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("work is not done in time").isLessThan(end);
            Thread.sleep(1);
        }
        // A run may be under way and one more may be due; the executor has one thread.
        mExecutor.submit(() -> {}).get();
        mExecutor.submit(() -> {}).get();
        assertThat(mExecutor.getQueue()).isEmpty();
    }
}
