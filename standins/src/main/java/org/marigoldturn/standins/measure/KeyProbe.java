package org.marigoldturn.standins.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Observes through the caller ports when a change of a key takes effect on each daemon. */
final class KeyProbe {
    private static final long INTERVAL_MILLIS = 5;
    private static final long TIMEOUT_NANOS = 30_000_000_000L;

    /**
     * Result of probing one daemon.
     *
     * @param changedAtNanos end of the first request with the new result
     * @param lastOldSentAtNanos start of the last request with the old result
     * @param otherStatuses requests that failed for another reason than the key
     */
    record Observation(long changedAtNanos, long lastOldSentAtNanos, int otherStatuses) {}

    private final MeasuredFleet mFleet;
    private final String mPresentedKey;
    private final boolean mValidAfterChange;

    KeyProbe(MeasuredFleet fleet, String presentedKey, boolean validAfterChange) {
        mFleet = fleet;
        mPresentedKey = presentedKey;
        mValidAfterChange = validAfterChange;
    }

    /** Probes all daemons, each from a thread of its own, until each shows the new result. */
    List<CompletableFuture<Observation>> start(int daemons) {
        List<CompletableFuture<Observation>> all = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            int daemon = i;
            CompletableFuture<Observation> result = new CompletableFuture<>();
            all.add(result);
            new Thread(() -> complete(result, daemon), "probe-" + i).start();
        }
        return all;
    }

    private void complete(CompletableFuture<Observation> result, int daemon) {
        try {
            result.complete(observe(daemon));
        } catch (RuntimeException | InterruptedException e) {
            result.completeExceptionally(e);
        }
    }

    private Observation observe(int daemon) throws InterruptedException {
        long start = System.nanoTime();
        long lastOldSentAtNanos = start;
        int otherStatuses = 0;
        while (System.nanoTime() - start < TIMEOUT_NANOS) {
            long sent = System.nanoTime();
            int status =
                    mFleet.send(daemon, mPresentedKey, MeasuredFleet.SERVICE, 0)
                            .aggregate()
                            .join()
                            .status()
                            .code();
            if (status == (mValidAfterChange ? 200 : 401)) {
                return new Observation(System.nanoTime(), lastOldSentAtNanos, otherStatuses);
            }
            if (status == (mValidAfterChange ? 401 : 200)) {
                lastOldSentAtNanos = sent;
            } else {
                otherStatuses++;
            }
            Thread.sleep(INTERVAL_MILLIS);
        }
        throw new IllegalStateException(
                "daemon " + daemon + " did not apply the change of the key within 30 s");
    }
}
