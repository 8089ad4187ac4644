package org.marigoldturn.store;

import com.codahale.metrics.Counter;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Records which entries under a prefix of the store cannot be used, and limits the log lines about
 * them.
 *
 * <p>Other writers may leave damaged entries, keep them or rewrite them all the time. An entry gets
 * a line when it is found unusable, and another one at most each {@link #REPEAT_MILLIS} while it
 * stays so or becomes so again; all entries together get at most {@link #LINES_PER_INTERVAL} lines
 * in {@link #INTERVAL_MILLIS}. The counter always shows how many entries are unusable. Confined to
 * the control thread; the current monotonic time is an argument.
 */
public final class UnusableEntries {
    /** Interval of the lines about one entry. */
    static final long REPEAT_MILLIS = 30_000;

    /** Interval to which {@link #LINES_PER_INTERVAL} applies. */
    static final long INTERVAL_MILLIS = 10_000;

    /** Lines about all entries in one interval. */
    static final int LINES_PER_INTERVAL = 20;

    /** Bounds the memory that entries with ever new keys take here. */
    private static final int MAX_REMEMBERED_KEYS = 1_000;

    private final String mKind;
    private final Counter mCount;
    private final Set<String> mUnusable = new HashSet<>();
    private final Map<String, Long> mLoggedMillis = new LinkedHashMap<>();
    private long mIntervalStartMillis = Long.MIN_VALUE / 2;
    private int mLinesInInterval;
    private long mSuppressed;

    /**
     * Creates a record without entries.
     *
     * @param kind what the entries describe, for log lines
     * @param count shows the number of unusable entries
     */
    public UnusableEntries(String kind, Counter count) {
        mKind = kind;
        mCount = count;
    }

    /** Records that an entry cannot be used; returns whether a line was logged. */
    public boolean add(StoredValue entry, String reason, long nowMillis) {
        if (mUnusable.add(entry.key())) {
            mCount.inc();
        }
        if (!mayLog(entry.key(), nowMillis)) {
            mSuppressed++;
            return false;
        }
        Logger.warn(
                "{}: event=unusable-entry key={} rev={} reason=\"{}\" suppressedLines={}",
                mKind,
                SingleLine.of(entry.key()),
                entry.modRevision(),
                SingleLine.of(reason),
                mSuppressed);
        mSuppressed = 0;
        return true;
    }

    /** Records that an entry is usable or was deleted. */
    public void remove(String key) {
        if (mUnusable.remove(key)) {
            mCount.dec();
        }
    }

    /** Forgets all entries. */
    public void clear() {
        mCount.dec(mUnusable.size());
        mUnusable.clear();
    }

    private boolean mayLog(String key, long nowMillis) {
        Long loggedMillis = mLoggedMillis.get(key);
        if (loggedMillis != null && nowMillis - loggedMillis < REPEAT_MILLIS) {
            return false;
        }
        if (nowMillis - mIntervalStartMillis >= INTERVAL_MILLIS) {
            mIntervalStartMillis = nowMillis;
            mLinesInInterval = 0;
        }
        if (mLinesInInterval >= LINES_PER_INTERVAL) {
            return false;
        }
        mLinesInInterval++;
        mLoggedMillis.remove(key);
        mLoggedMillis.put(key, nowMillis);
        if (mLoggedMillis.size() > MAX_REMEMBERED_KEYS) {
            mLoggedMillis.remove(mLoggedMillis.keySet().iterator().next());
        }
        return true;
    }
}
