package org.marigoldturn.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Registry of the attempts that the daemon has abandoned, or whose connection it has lost, while
 * the target may still run them. The rights of an attempt stay in use until its end is proven by
 * the target's complete response, by a reset of the stream by the target, or by a usage report of
 * the host. Thread safe.
 *
 * <p>The loss of a connection proves nothing, because a network device can interrupt it while the
 * target continues to run the request.
 */
public final class AbandonedAttempts {
    /** A usage report counts only if it was made at least this long after the attempt was added. */
    static final long REPORT_CLOCK_SKEW_MILLIS = 2_000;

    /**
     * An attempt whose end is not proven.
     *
     * @param sinceMillis wall-clock time at which the attempt was added
     * @param onEnded releases the rights; called at most once by this class
     */
    record Pending(String host, String requestId, long sinceMillis, Runnable onEnded) {}

    /**
     * Attempts by a key that identifies each; equality of the records would merge attempts with
     * equal fields.
     */
    private final ConcurrentHashMap<Object, Pending> mPending = new ConcurrentHashMap<>();

    /** Adds an attempt under a key that identifies it. */
    void add(Object attempt, Pending pending) {
        mPending.put(attempt, pending);
    }

    /** Removes an attempt whose end was proven by other evidence; does not call {@code onEnded}. */
    void remove(Object attempt) {
        mPending.remove(attempt);
    }

    /**
     * Releases the attempts on a host that its usage report no longer lists.
     *
     * @param madeAtMillis estimate of the wall-clock time at which the report was made; may differ
     *     from the true time by the clock skew
     * @param runningRequestIds ids of the requests that run on the host, sent by any daemon
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
     * Releases the attempts on a host that has certainly ended, for example according to the
     * platform. Nothing calls it at present.
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
