package org.marigoldturn.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/**
 * Metrics of one filter. The number of time series is fixed, since the names contain no team,
 * service, host or caller. Thread safe.
 */
final class FilterMetrics {
    private final Counter mPassed;
    private final Counter mRejected;
    private final Timer mDuration;

    FilterMetrics(MetricRegistry registry, String filter) {
        mPassed = registry.counter("entry." + filter + ".passed");
        mRejected = registry.counter("entry." + filter + ".rejected");
        mDuration = registry.timer("entry." + filter + ".duration");
    }

    void passed() {
        mPassed.inc();
    }

    void rejected() {
        mRejected.inc();
    }

    void took(long nanos) {
        mDuration.update(nanos, java.util.concurrent.TimeUnit.NANOSECONDS);
    }
}
