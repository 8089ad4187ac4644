package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.TaskId;

/**
 * Simulates a target according to the platform's protocol: it ends its runs when the lease expires
 * on its own slow clock, rejects fencing tokens lower than the highest one seen, and lists ends
 * until the owner confirms them as recorded. The caller passes in the time.
 */
final class SimulatedTarget {
    /** Observes starts and recorded ends to check the scheduling rules. */
    interface Observer {
        void onStart(SimulatedTarget target, TaskId task, long run, long nowMillis);

        void onEndRecorded(SimulatedTarget target, End end, long nowMillis);
    }

    /** Response to an order. */
    enum Response {
        OK,
        FENCED,
        OUTDATED,
        LATE,
        NO_ROOM
    }

    /** A run that has ended. */
    record End(long number, TaskId task, long run, EndKind kind, long atMillis) {}

    private record Execution(
            long run, long endMillis, EndKind kind, ResourceAmounts reservedResources) {}

    private final String mId;
    private final long mStartedMillis;
    private final double mClockRate;
    private final Observer mObserver;
    private final boolean mAdmissionControl;
    private final Map<TaskId, Execution> mRunning = new TreeMap<>((a, b) -> compareByName(a, b));
    private final List<End> mEnds = new ArrayList<>();
    private final Map<TaskId, Long> mHighestEnded = new HashMap<>();
    private long mToken;
    private long mLastEnd;
    private long mLeaseEndClock;
    private long mLastExpiryMillis = -1;
    private boolean mUp = true;

    /**
     * Creates a target that runs nothing and has seen no token.
     *
     * @param admissionControl whether it rejects starts that exceed its capacity
     */
    SimulatedTarget(
            String id,
            long startedMillis,
            double clockRate,
            boolean admissionControl,
            Observer observer) {
        mId = id;
        mStartedMillis = startedMillis;
        mClockRate = clockRate;
        mAdmissionControl = admissionControl;
        mObserver = observer;
    }

    private static int compareByName(TaskId a, TaskId b) {
        return a.toString().compareTo(b.toString());
    }

    String id() {
        return mId;
    }

    long startedMillis() {
        return mStartedMillis;
    }

    boolean isUp() {
        return mUp;
    }

    void crash() {
        mUp = false;
        mRunning.clear();
    }

    long lastExpiryMillis() {
        return mLastExpiryMillis;
    }

    long clock(long nowMillis) {
        return (long) ((nowMillis - mStartedMillis) * mClockRate);
    }

    boolean isRunning(TaskId task, long nowMillis) {
        advance(nowMillis);
        return mRunning.containsKey(task);
    }

    ResourceAmounts used(long nowMillis) {
        advance(nowMillis);
        return mRunning.values().stream()
                .map(Execution::reservedResources)
                .reduce(ResourceAmounts.NONE, ResourceAmounts::plus);
    }

    Response start(
            TaskId task,
            long run,
            long token,
            long leaseEndClock,
            ResourceAmounts reservedResources,
            long durationMillis,
            EndKind kind,
            long nowMillis) {
        advance(nowMillis);
        if (token < mToken) {
            return Response.FENCED;
        }
        mToken = token;
        boolean late = leaseEndClock <= clock(nowMillis);
        if (!late) {
            extendLease(leaseEndClock, nowMillis);
        }
        Execution current = mRunning.get(task);
        if (current != null && current.run() == run) {
            return Response.OK;
        }
        if (current != null || run <= mHighestEnded.getOrDefault(task, 0L)) {
            return Response.OUTDATED;
        }
        if (late) {
            return Response.LATE;
        }
        long millicores = used(nowMillis).cpuMillicores() + reservedResources.cpuMillicores();
        if (mAdmissionControl && millicores > SimulatedOwner.TARGET_MILLICORES) {
            return Response.NO_ROOM;
        }
        mRunning.put(task, new Execution(run, nowMillis + durationMillis, kind, reservedResources));
        mObserver.onStart(this, task, run, nowMillis);
        return Response.OK;
    }

    Response stop(TaskId task, long run, long token, long nowMillis) {
        advance(nowMillis);
        if (token < mToken) {
            return Response.FENCED;
        }
        mToken = token;
        Execution current = mRunning.get(task);
        if (current != null && current.run() <= run) {
            end(task, current, EndKind.STOPPED, nowMillis);
        }
        mHighestEnded.merge(task, run, Math::max);
        return Response.OK;
    }

    /**
     * Responds to a poll: renews the lease and forgets recorded ends; returns null if the token is
     * too low.
     */
    TargetReport poll(long token, long recordedEnd, long leaseEndClock, long nowMillis) {
        advance(nowMillis);
        if (token < mToken) {
            return null;
        }
        mToken = token;
        extendLease(leaseEndClock, nowMillis);
        for (End end : List.copyOf(mEnds)) {
            if (end.number() <= recordedEnd) {
                mEnds.remove(end);
                mObserver.onEndRecorded(this, end, nowMillis);
            }
        }
        List<TargetReport.RunReport> running = new ArrayList<>();
        mRunning.forEach(
                (task, run) -> running.add(new TargetReport.RunReport(task, run.run(), "", 100)));
        List<TargetReport.RunEnd> ends = new ArrayList<>();
        for (End end : mEnds) {
            ends.add(new TargetReport.RunEnd(end.number(), end.task(), end.run(), end.kind(), ""));
        }
        return new TargetReport(mStartedMillis, running, ends, true);
    }

    /** Returns the highest fencing token that it has seen. */
    long token() {
        return mToken;
    }

    /** Returns the runs that execute here or whose ends are listed. */
    Map<TaskId, Long> listedRuns(long nowMillis) {
        advance(nowMillis);
        Map<TaskId, Long> runs = new HashMap<>();
        mEnds.forEach(end -> runs.merge(end.task(), end.run(), Math::max));
        mRunning.forEach((task, run) -> runs.merge(task, run.run(), Math::max));
        return runs;
    }

    /** Returns the listed ends up to a number. */
    List<End> endsUpTo(long number, long nowMillis) {
        advance(nowMillis);
        return mEnds.stream().filter(end -> end.number() <= number).toList();
    }

    private void extendLease(long leaseEndClock, long nowMillis) {
        long latest = clock(nowMillis) + ScheduleSimulation.MAX_LEASE_MILLIS;
        mLeaseEndClock = Math.max(mLeaseEndClock, Math.min(leaseEndClock, latest));
    }

    private void advance(long nowMillis) {
        long leaseEndMillis = mStartedMillis + (long) Math.ceil((mLeaseEndClock + 1) / mClockRate);
        boolean expired = mLeaseEndClock > 0 && clock(nowMillis) > mLeaseEndClock;
        for (Map.Entry<TaskId, Execution> entry : Map.copyOf(mRunning).entrySet()) {
            Execution run = entry.getValue();
            boolean finished = run.endMillis() <= nowMillis;
            if (finished && (!expired || run.endMillis() <= leaseEndMillis)) {
                end(entry.getKey(), run, run.kind(), run.endMillis());
            } else if (expired) {
                end(entry.getKey(), run, EndKind.LAPSED, leaseEndMillis);
            }
        }
        if (expired) {
            mLastExpiryMillis = Math.max(mLastExpiryMillis, leaseEndMillis);
        }
    }

    private void end(TaskId task, Execution run, EndKind kind, long atMillis) {
        mRunning.remove(task);
        mHighestEnded.merge(task, run.run(), Math::max);
        mEnds.add(new End(++mLastEnd, task, run.run(), kind, atMillis));
    }
}
