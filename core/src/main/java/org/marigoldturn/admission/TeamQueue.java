package org.marigoldturn.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Holds the queued requests of one team in one pool and counts its running ones. Not thread safe.
 *
 * <p>There is one queue, called lane, for each combination of urgency, repetition and needs, so
 * that a request that fits on no free host does not delay those that do.
 */
final class TeamQueue<T> {
    /**
     * Maximum number of lanes; it bounds the time of a selection, which checks the head of each.
     */
    static final int MAX_LANES = 32;

    private record LaneKey(boolean urgent, boolean repeated, ResourceNeeds needs) {}

    private final Map<LaneKey, Set<QueuedRequest<T>>> mLanes = new HashMap<>();
    private TeamAdmissionRules mRules;
    private int mQueued;
    private int mRunning;

    TeamQueue(TeamAdmissionRules rules) {
        mRules = rules;
    }

    TeamAdmissionRules rules() {
        return mRules;
    }

    int queued() {
        return mQueued;
    }

    int running() {
        return mRunning;
    }

    boolean isIdle() {
        return mQueued == 0 && mRunning == 0;
    }

    /** Adds the request; returns false if it would need a lane beyond the maximum number. */
    boolean add(QueuedRequest<T> request) {
        LaneKey key = new LaneKey(request.urgent(), request.repeated(), request.needs());
        if (!request.repeated() && !mLanes.containsKey(key) && mLanes.size() >= MAX_LANES) {
            removeEmptyLanes();
            if (mLanes.size() >= MAX_LANES) {
                return false;
            }
        }
        mRules = request.rules();
        Set<QueuedRequest<T>> lane = mLanes.computeIfAbsent(key, k -> new LinkedHashSet<>());
        lane.add(request);
        request.mLane = lane;
        mQueued++;
        return true;
    }

    void remove(QueuedRequest<T> request) {
        request.mLane.remove(request);
        request.mLane = null;
        mQueued--;
    }

    void started() {
        mRunning++;
    }

    void ended() {
        if (mRunning == 0) {
            throw new IllegalStateException(
                    "cannot end a request: team " + mRules.team() + " has no running one");
        }
        mRunning--;
    }

    /** Returns the oldest head of the (urgent) lanes that passes the filter, or null. */
    QueuedRequest<T> oldest(boolean urgentOnly, Predicate<QueuedRequest<T>> filter) {
        QueuedRequest<T> oldest = null;
        for (Map.Entry<LaneKey, Set<QueuedRequest<T>>> lane : mLanes.entrySet()) {
            if (lane.getValue().isEmpty() || (urgentOnly && !lane.getKey().urgent())) {
                continue;
            }
            QueuedRequest<T> head = lane.getValue().iterator().next();
            boolean older = oldest == null || head.mSequence < oldest.mSequence;
            if (older && filter.test(head)) {
                oldest = head;
            }
        }
        return oldest;
    }

    private void removeEmptyLanes() {
        Iterator<Set<QueuedRequest<T>>> lanes = mLanes.values().iterator();
        while (lanes.hasNext()) {
            if (lanes.next().isEmpty()) {
                lanes.remove();
            }
        }
    }
}
