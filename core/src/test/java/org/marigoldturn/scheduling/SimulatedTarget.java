package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marigoldturn.jobs.Room;
import org.marigoldturn.jobs.TaskId;

/**
 * A target as the platform's protocol describes it: runs under a lease on its own slow clock, the
 * highest token, ends that are listed until they are noted. Time is an argument.
 */
final class SimulatedTarget {
    /** Learns what happens, for the rules that must hold. */
    interface Witness {
        void onStart(SimulatedTarget target, TaskId task, long run, long nowMillis);

        void onNoted(SimulatedTarget target, End end, long nowMillis);
    }

    /** An answer to an order. */
    enum Answer {
        OK,
        FENCED,
        OLD,
        LATE
    }

    /** A run that has ended. */
    record End(long number, TaskId task, long run, EndKind kind, long atMillis) {}

    private record Execution(long run, long endMillis, EndKind kind, Room claim) {}

    private final String mId;
    private final long mStartedMillis;
    private final double mClockRate;
    private final Witness mWitness;
    private final Map<TaskId, Execution> mRunning = new TreeMap<>((a, b) -> name(a, b));
    private final List<End> mEnds = new ArrayList<>();
    private final Map<TaskId, Long> mHighestEnded = new HashMap<>();
    private long mToken;
    private long mLastEnd;
    private long mLeaseEndClock;
    private long mLastLapseMillis = -1;
    private boolean mUp = true;

    SimulatedTarget(String id, long startedMillis, double clockRate, Witness witness) {
        mId = id;
        mStartedMillis = startedMillis;
        mClockRate = clockRate;
        mWitness = witness;
    }

    private static int name(TaskId a, TaskId b) {
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

    long lastLapseMillis() {
        return mLastLapseMillis;
    }

    long clock(long nowMillis) {
        return (long) ((nowMillis - mStartedMillis) * mClockRate);
    }

    boolean isRunning(TaskId task, long nowMillis) {
        advance(nowMillis);
        return mRunning.containsKey(task);
    }

    Room used(long nowMillis) {
        advance(nowMillis);
        return mRunning.values().stream().map(Execution::claim).reduce(Room.NONE, Room::plus);
    }

    Answer start(
            TaskId task,
            long run,
            long token,
            long leaseEndClock,
            Room claim,
            long durationMillis,
            EndKind kind,
            long nowMillis) {
        advance(nowMillis);
        if (token < mToken) {
            return Answer.FENCED;
        }
        mToken = token;
        Execution present = mRunning.get(task);
        if (present != null && present.run() == run) {
            return Answer.OK;
        }
        if (present != null || run <= mHighestEnded.getOrDefault(task, 0L)) {
            return Answer.OLD;
        }
        if (leaseEndClock <= clock(nowMillis)) {
            return Answer.LATE;
        }
        mLeaseEndClock = Math.max(mLeaseEndClock, leaseEndClock);
        mRunning.put(task, new Execution(run, nowMillis + durationMillis, kind, claim));
        mWitness.onStart(this, task, run, nowMillis);
        return Answer.OK;
    }

    Answer stop(TaskId task, long run, long token, long nowMillis) {
        advance(nowMillis);
        if (token < mToken) {
            return Answer.FENCED;
        }
        mToken = token;
        Execution present = mRunning.get(task);
        if (present != null && present.run() <= run) {
            end(task, present, EndKind.STOPPED, nowMillis);
        }
        mHighestEnded.merge(task, run, Math::max);
        return Answer.OK;
    }

    /** Renews the lease and forgets noted ends; empty if the token is too low. */
    TargetReport look(long token, long notedEnd, long leaseEndClock, long nowMillis) {
        advance(nowMillis);
        if (token < mToken) {
            return null;
        }
        mToken = token;
        mLeaseEndClock = Math.max(mLeaseEndClock, leaseEndClock);
        for (End end : List.copyOf(mEnds)) {
            if (end.number() <= notedEnd) {
                mEnds.remove(end);
                mWitness.onNoted(this, end, nowMillis);
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

    private void advance(long nowMillis) {
        long leaseEndMillis = mStartedMillis + (long) Math.ceil((mLeaseEndClock + 1) / mClockRate);
        boolean lapsed = mLeaseEndClock > 0 && clock(nowMillis) > mLeaseEndClock;
        for (Map.Entry<TaskId, Execution> entry : Map.copyOf(mRunning).entrySet()) {
            Execution run = entry.getValue();
            boolean over = run.endMillis() <= nowMillis;
            if (over && (!lapsed || run.endMillis() <= leaseEndMillis)) {
                end(entry.getKey(), run, run.kind(), run.endMillis());
            } else if (lapsed) {
                end(entry.getKey(), run, EndKind.LAPSED, leaseEndMillis);
            }
        }
        if (lapsed) {
            mLastLapseMillis = Math.max(mLastLapseMillis, leaseEndMillis);
        }
    }

    private void end(TaskId task, Execution run, EndKind kind, long atMillis) {
        mRunning.remove(task);
        mHighestEnded.merge(task, run.run(), Math::max);
        mEnds.add(new End(++mLastEnd, task, run.run(), kind, atMillis));
    }
}
