package org.marigoldturn.admission;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.marigoldturn.rights.ResourceNames;
import org.marigoldturn.rights.RightsHolder;
import org.marigoldturn.shares.EntitlementSource;

/**
 * Queues the requests of one pool at this daemon, and decides in which order they start.
 *
 * <p>The team with the lowest ratio of running requests to entitlement comes first, and within a
 * team the oldest request. Urgent requests precede all others while they use less than {@link
 * #URGENT_SHARE_PERCENT} of the slots.
 *
 * <p>Invariants: a request is queued at most once; a started request counts as running for its team
 * until {@link #onEnded}; the queue of a team never exceeds the capacity given with its requests,
 * except by repeated requests. Thread safe; the lock is held for at most one pass over the active
 * teams.
 *
 * @param <T> type of the attachment of the requests
 */
public final class PoolQueue<T> {
    /** Percentage of the daemon's slots in the pool up to which urgent requests have priority. */
    public static final int URGENT_SHARE_PERCENT = 25;

    /** Width of an expiry bucket: requests expire at most this much after their expiry time. */
    static final long EXPIRY_STEP_NANOS = 10_000_000;

    private final String mPool;
    private final RightsHolder mRights;
    private final EntitlementSource mEntitlements;
    private final Map<String, TeamQueue<T>> mTeams = new HashMap<>();
    private final TreeMap<Long, Set<QueuedRequest<T>>> mExpiry = new TreeMap<>();
    private long mNextSequence;
    private int mUrgentRunning;
    private final AtomicInteger mQueued = new AtomicInteger();

    private record Candidate<T>(
            TeamQueue<T> team, QueuedRequest<T> request, double usageRatio, boolean urgent) {}

    /** Creates an empty queue. */
    public PoolQueue(String pool, RightsHolder rights, EntitlementSource entitlements) {
        mPool = pool;
        mRights = rights;
        mEntitlements = entitlements;
    }

    /**
     * Queues a request.
     *
     * @param capacity maximum number of queued requests of the team in this pool
     */
    public synchronized Either<AdmissionError, QueuedRequest<T>> offer(
            QueuedRequest<T> request, int capacity, long nowNanos) {
        if (request.mLane != null) {
            throw new IllegalArgumentException("the request is already queued; queue it only once");
        }
        if (request.expiresNanos() - nowNanos <= 0) {
            return Either.left(AdmissionError.DEADLINE_PASSED);
        }
        TeamAdmissionRules rules = request.rules();
        TeamQueue<T> team = mTeams.computeIfAbsent(rules.team(), t -> new TeamQueue<>(rules));
        if (!request.repeated() && team.queued() >= capacity) {
            dropIfIdle(rules.team());
            return Either.left(AdmissionError.QUEUE_FULL);
        }
        request.mSequence = mNextSequence++;
        if (!team.add(request)) {
            return Either.left(AdmissionError.TOO_MANY_SIZES);
        }
        long bucket = Math.floorDiv(request.expiresNanos(), EXPIRY_STEP_NANOS) + 1;
        request.mExpiryBucket = mExpiry.computeIfAbsent(bucket, b -> new LinkedHashSet<>());
        request.mExpiryBucket.add(request);
        mQueued.incrementAndGet();
        return Either.right(request);
    }

    /** Removes a queued request in constant time; returns false if it was no longer queued. */
    public synchronized boolean cancel(QueuedRequest<T> request) {
        if (request.mLane == null) {
            return false;
        }
        remove(request);
        dropIfIdle(request.rules().team());
        return true;
    }

    /**
     * Finds the request that starts next and acquires one limit right of its team. The caller must
     * either start the request with {@link #start} or release the right with {@link
     * #releaseLimitRight}.
     *
     * @param localSlots number of slots of the pool that this daemon uses or may use
     * @param filter accepts the requests that may start now
     */
    public synchronized Optional<QueuedRequest<T>> next(
            int localSlots, Predicate<QueuedRequest<T>> filter) {
        List<Candidate<T>> candidates = candidates(localSlots, filter);
        candidates.sort(
                Comparator.comparing((Candidate<T> c) -> !c.urgent())
                        .thenComparingDouble(Candidate::usageRatio)
                        .thenComparingLong(c -> c.request().mSequence));
        for (Candidate<T> candidate : candidates) {
            if (acquire(candidate.team().rules())) {
                candidate.request().mCountsAsUrgent = candidate.urgent();
                return Optional.of(candidate.request());
            }
        }
        return Optional.empty();
    }

    /** Releases the limit right that {@link #next} acquired; the request stays queued. */
    public void releaseLimitRight(QueuedRequest<T> request) {
        release(request.rules());
    }

    /**
     * Removes a request that {@link #next} returned from the queue and counts it as running. If it
     * was cancelled in the meantime, releases its limit right and returns false.
     */
    public synchronized boolean start(QueuedRequest<T> request) {
        if (request.mLane == null) {
            release(request.rules());
            return false;
        }
        remove(request);
        mTeams.get(request.rules().team()).started();
        mUrgentRunning += request.mCountsAsUrgent ? 1 : 0;
        return true;
    }

    /** Counts a started request as ended and releases its limit right. */
    public synchronized void onEnded(QueuedRequest<T> request) {
        mTeams.get(request.rules().team()).ended();
        mUrgentRunning -= request.mCountsAsUrgent ? 1 : 0;
        release(request.rules());
        dropIfIdle(request.rules().team());
    }

    /** Removes and returns the requests that have expired. */
    public synchronized List<QueuedRequest<T>> expire(long nowNanos) {
        return removeUntil(Math.floorDiv(nowNanos, EXPIRY_STEP_NANOS));
    }

    /** Removes and returns all queued requests. */
    public synchronized List<QueuedRequest<T>> removeAll() {
        return removeUntil(Long.MAX_VALUE);
    }

    /** Returns the number of queued requests without taking the lock. */
    public int queued() {
        return mQueued.get();
    }

    /** Returns the running and queued requests by team; teams without requests are absent. */
    public synchronized Map<String, TeamRequestCounts> demand() {
        Map<String, TeamRequestCounts> demand = new TreeMap<>();
        mTeams.forEach(
                (name, team) ->
                        demand.put(name, new TeamRequestCounts(team.running(), team.queued())));
        return demand;
    }

    private List<QueuedRequest<T>> removeUntil(long lastBucket) {
        List<QueuedRequest<T>> removed = new ArrayList<>();
        while (!mExpiry.isEmpty() && mExpiry.firstKey() <= lastBucket) {
            removed.addAll(mExpiry.pollFirstEntry().getValue());
        }
        for (QueuedRequest<T> request : removed) {
            remove(request);
            dropIfIdle(request.rules().team());
        }
        return removed;
    }

    private List<Candidate<T>> candidates(int localSlots, Predicate<QueuedRequest<T>> filter) {
        // At least one, so that urgent requests have priority at daemons with few slots, too.
        int urgentLimit = Math.max(1, localSlots * URGENT_SHARE_PERCENT / 100);
        boolean urgentFirst = mUrgentRunning < urgentLimit;
        double slotsPerWeight = slotsPerWeight();
        List<Candidate<T>> candidates = new ArrayList<>();
        for (TeamQueue<T> team : mTeams.values()) {
            if (team.queued() == 0) {
                continue;
            }
            double usageRatio = usageRatio(team, slotsPerWeight);
            QueuedRequest<T> urgent = urgentFirst ? team.oldest(true, filter) : null;
            QueuedRequest<T> request = urgent == null ? team.oldest(false, filter) : urgent;
            if (request != null) {
                candidates.add(new Candidate<>(team, request, usageRatio, urgent != null));
            }
        }
        return candidates;
    }

    private double usageRatio(TeamQueue<T> team, double slotsPerWeight) {
        OptionalInt known = mEntitlements.entitlement(mPool, team.rules().team());
        double entitled =
                known.isPresent() ? known.getAsInt() : team.rules().weight() * slotsPerWeight;
        return entitled == 0 ? Double.POSITIVE_INFINITY : team.running() / entitled;
    }

    /** Returns the slots per weight of the teams with known entitlements; 1 if there are none. */
    private double slotsPerWeight() {
        long slots = 0;
        long weights = 0;
        for (TeamQueue<T> team : mTeams.values()) {
            OptionalInt known = mEntitlements.entitlement(mPool, team.rules().team());
            if (known.isPresent()) {
                slots += known.getAsInt();
                weights += team.rules().weight();
            }
        }
        return slots == 0 ? 1.0 : (double) slots / weights;
    }

    private boolean acquire(TeamAdmissionRules rules) {
        return !rules.limited() || mRights.tryAcquire(ResourceNames.team(rules.team()));
    }

    private void release(TeamAdmissionRules rules) {
        if (rules.limited()) {
            mRights.release(ResourceNames.team(rules.team()));
        }
    }

    private void remove(QueuedRequest<T> request) {
        mTeams.get(request.rules().team()).remove(request);
        request.mExpiryBucket.remove(request);
        request.mExpiryBucket = null;
        mQueued.decrementAndGet();
    }

    private void dropIfIdle(String team) {
        if (mTeams.get(team).isIdle()) {
            mTeams.remove(team);
        }
    }
}
