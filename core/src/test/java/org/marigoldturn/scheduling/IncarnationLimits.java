package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marigoldturn.jobs.TaskId;
import org.marigoldturn.scheduling.SimulatedCall.StartedRun;

/**
 * Excludes what the opening comment of models/TargetIncarnations.tla states as not covered, and
 * counts it.
 */
final class IncarnationLimits {
    private final ScheduleSimulation mSimulation;
    private final Map<StartedRun, Long> mSentMillis = new HashMap<>();
    private final Map<TaskId, Long> mStopped = new HashMap<>();
    private final Set<StartedRun> mWaitedOut = new HashSet<>();
    private final Map<String, Long> mTermOfWait = new HashMap<>();
    private final Map<String, Long> mAnsweredToken = new HashMap<>();
    private final Map<String, Long> mAnsweredIncarnation = new HashMap<>();
    private final Map<String, Set<StartedRun>> mMisdirected = new HashMap<>();
    private final Set<TaskId> mExcludedTasks = new HashSet<>();
    private int mSettledStarts;
    private int mUnknownIncarnations;
    private int mEarlierPolls;

    IncarnationLimits(ScheduleSimulation simulation) {
        mSimulation = simulation;
    }

    /** Returns whether a call that was decided for an earlier incarnation is not carried out. */
    boolean excludes(SimulatedCall<?> call, SimulatedTarget target) {
        // Limit: a start that was settled reaches an incarnation that has not responded yet.
        if (call.start() != null && call.token() >= target.token() && isSettled(call)) {
            mSettledStarts++;
            return true;
        }
        // Limit: a poll confirms ends of the former incarnation after a start that was sent later
        // has run to its end.
        if (!hasResponded(target) && dropsEndOfLaterStart(call, target)) {
            mEarlierPolls++;
            return true;
        }
        return false;
    }

    private boolean isSettled(SimulatedCall<?> call) {
        StartedRun run = call.start();
        boolean stopped = run.number() <= mStopped.getOrDefault(run.task(), 0L);
        boolean fenced = call.token() < mAnsweredToken.getOrDefault(call.targetId(), 0L);
        boolean waitedOut =
                mWaitedOut.contains(run)
                        || call.term() < mTermOfWait.getOrDefault(call.targetId(), 0L);
        return (stopped || fenced || waitedOut)
                && !mSimulation.owner().mayExist(call.targetId(), run);
    }

    private boolean dropsEndOfLaterStart(SimulatedCall<?> call, SimulatedTarget target) {
        return target.endsUpTo(call.recordedEnd(), mSimulation.nowMillis()).stream()
                .map(end -> new StartedRun(end.task(), end.run()))
                .anyMatch(run -> mSentMillis.getOrDefault(run, 0L) > call.sentMillis());
    }

    private boolean hasResponded(SimulatedTarget target) {
        return mAnsweredIncarnation.getOrDefault(target.id(), -1L) == target.startedMillis();
    }

    /** Records a start that has arrived at a target. */
    void onStartArrived(SimulatedCall<?> call, SimulatedTarget target) {
        StartedRun run = call.start();
        mSentMillis.put(run, call.sentMillis());
        Map<TaskId, Long> listed = target.listedRuns(mSimulation.nowMillis());
        boolean carriedOut = listed.getOrDefault(run.task(), 0L) == run.number();
        if (carriedOut && target.startedMillis() != call.startedMillis()) {
            mMisdirected.computeIfAbsent(key(target), t -> new HashSet<>()).add(run);
        }
    }

    /** Records that an owner has read the response to a poll. */
    void onPollAnswered(SimulatedCall<?> poll, long startedMillis) {
        mAnsweredToken.merge(poll.targetId(), poll.token(), Math::max);
        mAnsweredIncarnation.merge(poll.targetId(), startedMillis, Math::max);
    }

    /** Records that an owner has read the response to a stop. */
    void onStopConfirmed(Run run) {
        mStopped.merge(run.task(), run.number(), Math::max);
    }

    /**
     * Records what an owner takes as ended, since all leases have ended.
     *
     * @param targets the targets that the owner knew before
     */
    void onLeasesExpired(long term, JobScheduler scheduler, List<TargetState> targets) {
        for (EndedRuns ended : scheduler.takeEndedRuns()) {
            ended.runs().forEach(e -> mWaitedOut.add(StartedRun.of(e.run())));
            excludeUnknownIncarnation(ended.target());
        }
        List<TargetState> unknown = scheduler.targetsWithUnknownRuns(mSimulation.nowMillis());
        for (TargetState target : targets) {
            if (target.mayHaveUnknownRuns() && !unknown.contains(target)) {
                mTermOfWait.merge(target.entry().id(), term, Math::max);
                excludeUnknownIncarnation(target);
            }
        }
    }

    private void excludeUnknownIncarnation(TargetState state) {
        SimulatedTarget target = mSimulation.target(state.entry().id());
        if (!target.isUp() || target.startedMillis() <= state.entry().startedEpochMillis()) {
            return;
        }
        // Limit: an incarnation executes a start, and the owner does not know of it when the leases
        // of the former one have ended.
        Map<TaskId, Long> listed = target.listedRuns(mSimulation.nowMillis());
        for (StartedRun run : mMisdirected.getOrDefault(key(target), Set.of())) {
            boolean exists = listed.getOrDefault(run.task(), 0L) == run.number();
            if (exists && mExcludedTasks.add(run.task())) {
                mUnknownIncarnations++;
            }
        }
    }

    private static String key(SimulatedTarget target) {
        return target.id() + "/" + target.startedMillis();
    }

    /** Returns whether a breach of a rule by a task does not count. */
    boolean excludes(TaskId task) {
        return mExcludedTasks.contains(task);
    }

    /** Returns how many starts were not carried out, since they were settled. */
    int settledStarts() {
        return mSettledStarts;
    }

    /** Returns how many tasks are excluded, since an unknown incarnation had runs of them. */
    int unknownIncarnations() {
        return mUnknownIncarnations;
    }

    /** Returns how many polls were not carried out, since they would have dropped ends. */
    int earlierPolls() {
        return mEarlierPolls;
    }

    /** Returns whether a later incarnation has carried out a start. */
    boolean hasMisdirectedStart() {
        return !mMisdirected.isEmpty();
    }
}
