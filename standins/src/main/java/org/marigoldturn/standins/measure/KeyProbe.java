package org.marigoldturn.standins.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Observes through the caller ports when a change of a key is in force on each daemon. */
final class KeyProbe {
    private static final long INTERVAL_MILLIS = 5;
    private static final long LIMIT_NANOS = 30_000_000_000L;

    /**
     * What one daemon did.
     *
     * @param changedAtNanos end of the first request with the new result
     * @param lastOldSentAtNanos start of the last request with the old result
     * @param otherStatuses requests that failed for another reason than the key
     */
    record Observation(long changedAtNanos, long lastOldSentAtNanos, int otherStatuses) {}

    private final MeasuredFleet mFleet;
    private final String mPresentedKey;
    private final boolean mWorksAfter;

    KeyProbe(MeasuredFleet fleet, String presentedKey, boolean worksAfter) {
        mFleet = fleet;
        mPresentedKey = presentedKey;
        mWorksAfter = worksAfter;
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
        long lastOld = start;
        int others = 0;
        while (System.nanoTime() - start < LIMIT_NANOS) {
            long sent = System.nanoTime();
            int status =
                    mFleet.send(daemon, mPresentedKey, MeasuredFleet.SERVICE, 0)
                            .aggregate()
                            .join()
                            .status()
                            .code();
            if (status == (mWorksAfter ? 200 : 401)) {
                return new Observation(System.nanoTime(), lastOld, others);
            }
            if (status == (mWorksAfter ? 401 : 200)) {
                lastOld = sent;
            } else {
                others++;
            }
            Thread.sleep(INTERVAL_MILLIS);
        }
        throw new IllegalStateException("daemon " + daemon + " did not apply the change in 30 s");
    }
}
