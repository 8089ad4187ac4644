package org.marigoldturn.peer;

import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Log that writes at most one warning a second and reports how many were suppressed. Thread safe.
 */
final class RateLimitedLog {
    private static final long INTERVAL_NANOS = 1_000_000_000;

    private final AtomicLong mLastNanos = new AtomicLong(System.nanoTime() - INTERVAL_NANOS);
    private final AtomicLong mSuppressed = new AtomicLong();

    void warn(String line) {
        long now = System.nanoTime();
        long last = mLastNanos.get();
        if (now - last < INTERVAL_NANOS || !mLastNanos.compareAndSet(last, now)) {
            mSuppressed.incrementAndGet();
            return;
        }
        long suppressed = mSuppressed.getAndSet(0);
        if (suppressed > 0) {
            Logger.warn(
                    "peer: {} ({} further warnings suppressed since the last one)",
                    line,
                    suppressed);
        } else {
            Logger.warn("peer: {}", line);
        }
    }
}
