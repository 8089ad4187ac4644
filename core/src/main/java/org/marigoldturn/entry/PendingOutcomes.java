package org.marigoldturn.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Attempts whose callers were answered while the target may still run them. Their rights stay taken
 * until the end is proven: by the target's answer, by a reset of the stream by the target, or by a
 * usage report of the host. Thread safe.
 *
 * <p>The loss of a connection proves nothing, because a device between the two ends can cut it
 * while the target goes on.
 */
public final class PendingOutcomes {
    /** A usage report counts only if it was made this much after the attempt was given up. */
    static final long REPORT_CLOCK_SKEW_MILLIS = 2_000;

    /**
     * One attempt.
     *
     * @param sinceMillis wall clock time at which the attempt was given up
     * @param onEnded releases the rights; called at most once by this class
     */
    record Pending(String host, String requestId, long sinceMillis, Runnable onEnded) {}

    /** Compared by identity: a record's equality would merge attempts with equal fields. */
    private final ConcurrentHashMap<Object, Pending> mPending = new ConcurrentHashMap<>();

    /** Adds an attempt under a key that identifies it. */
    void add(Object attempt, Pending pending) {
        mPending.put(attempt, pending);
    }

    /** Removes an attempt whose end was proven otherwise. */
    void remove(Object attempt) {
        mPending.remove(attempt);
    }

    /**
     * Releases the attempts on a host that its usage report does not list any more.
     *
     * @param madeAtMillis wall clock time at which the host made the report
     * @param runningRequestIds request ids of all owners that run on the host
     * @return number of released attempts
     */
    public int onUsageReport(String host, long madeAtMillis, Set<String> runningRequestIds) {
        return releaseIf(
                pending ->
                        pending.host().equals(host)
                                && madeAtMillis - pending.sinceMillis() >= REPORT_CLOCK_SKEW_MILLIS
                                && !runningRequestIds.contains(pending.requestId()));
    }

    /**
     * Releases the attempts on a host that has certainly ended, for example because the platform
     * reports it.
     *
     * @return number of released attempts
     */
    public int onHostEnded(String host) {
        return releaseIf(pending -> pending.host().equals(host));
    }

    private int releaseIf(Predicate<Pending> proven) {
        List<Runnable> ended = new ArrayList<>();
        mPending.forEach(
                (attempt, pending) -> {
                    if (proven.test(pending) && mPending.remove(attempt, pending)) {
                        ended.add(pending.onEnded());
                    }
                });
        ended.forEach(Runnable::run);
        return ended.size();
    }

    /** Returns the hosts of the attempts whose end is not proven. */
    public Set<String> hosts() {
        return mPending.values().stream().map(Pending::host).collect(Collectors.toSet());
    }

    /** Returns the number of attempts whose end is not proven. */
    public int size() {
        return mPending.size();
    }
}
