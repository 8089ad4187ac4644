package org.marigoldturn.clientlimits;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.tinylog.Logger;

/** Counts reached limits by kind, and logs at most one line per kind and interval. Thread safe. */
public final class LimitReports {
    private static final long LINE_INTERVAL_NANOS = 10_000_000_000L;

    private final Map<LimitKind, Entry> mEntries = new EnumMap<>(LimitKind.class);

    /** Creates the counters {@code client-limits.KIND}. */
    public LimitReports(MetricRegistry metrics) {
        for (LimitKind kind : LimitKind.values()) {
            mEntries.put(kind, new Entry(kind, metrics.counter("client-limits." + kind.label())));
        }
    }

    /** Counts one event. */
    public void count(LimitKind kind, long nowNanos) {
        mEntries.get(kind).count(nowNanos);
    }

    private static final class Entry {
        private final LimitKind mKind;
        private final Counter mCounter;
        private long mUnreported;
        private long mLastLineNanos;
        private boolean mHasLine;

        Entry(LimitKind kind, Counter counter) {
            mKind = kind;
            mCounter = counter;
        }

        synchronized void count(long nowNanos) {
            mCounter.inc();
            mUnreported++;
            if (mHasLine && nowNanos - mLastLineNanos < LINE_INTERVAL_NANOS) {
                return;
            }
            mHasLine = true;
            mLastLineNanos = nowNanos;
            Logger.warn(
                    "clients: event=limit-reached kind={} count={} total={}",
                    mKind.label(),
                    mUnreported,
                    mCounter.getCount());
            mUnreported = 0;
        }
    }
}
