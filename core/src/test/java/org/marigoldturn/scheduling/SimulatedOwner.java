package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.jobs.TaskId;

/**
 * Simulates one owner: it runs a scheduler, polls each target and sends orders, all without
 * threads.
 */
final class SimulatedOwner {
    static final long TARGET_MILLICORES = 4_000;
    private static final double SLOWEST_CLOCK = 0.98;
    private static final long TICK_MILLIS = 100;
    private static final long RENEW_INTERVAL_MILLIS = 800;

    private final ScheduleSimulation mSimulation;
    private final long mTerm;
    private final JobScheduler mScheduler;
    private final Map<TargetState, Link> mLinks = new HashMap<>();
    private final Map<String, Integer> mPendingWrites = new HashMap<>();
    private long mConfirmedMillis;
    private boolean mClosed;

    /** The last known clock of a target and the highest number among its recorded ends. */
    private static final class Link {
        private long mClock;
        private long mReadMillis;
        private boolean mKnown;
        private long mRecordedEnd;
        private final Set<String> mJobsOfEnds = new HashSet<>();
    }

    SimulatedOwner(ScheduleSimulation simulation) {
        mSimulation = simulation;
        mTerm = simulation.term();
        mScheduler =
                new JobScheduler(
                        simulation.catalog(),
                        mTerm,
                        simulation.nowMillis(),
                        simulation.longestLeaseMillis(),
                        simulation.longestLeaseMillis());
    }

    void start() {
        for (Job job : mSimulation.storedJobs().values()) {
            mScheduler.restore(
                    job,
                    mSimulation.storedProgress().getOrDefault(job.id(), JobProgress.NONE),
                    mSimulation.nowMillis());
        }
        mScheduler.setTargetRecordsComplete(mSimulation.restoresTargets());
        for (TargetEntry recorded : mSimulation.storedTargets()) {
            addLink(mScheduler.restoreTarget(recorded, mSimulation.nowMillis()));
        }
        tick();
    }

    void close() {
        mClosed = true;
    }

    void accept(Job job) {
        Admission admission =
                mScheduler.submit(
                        job,
                        SchedulerFixture.QUEUE,
                        mSimulation.nowMillis(),
                        mSimulation.nowMillis());
        if (admission.accepted()) {
            mScheduler.onStored(job.id());
        } else {
            // The simulation has already stored the job, so the owner restores it like a job of an
            // earlier owner.
            mScheduler.restore(job, JobProgress.NONE, mSimulation.nowMillis());
        }
    }

    void cancel(String jobId) {
        mScheduler.cancel(jobId, mSimulation.nowMillis());
        storeChanges();
    }

    private void tick() {
        if (mClosed) {
            return;
        }
        for (SimulatedTarget target : mSimulation.targets()) {
            if (mSimulation.isListed(target)) {
                addIfUnknown(target);
            } else if (target.isUp()) {
                mScheduler.onTargetUnlisted(target.id());
            }
        }
        mScheduler.setCatalog(mSimulation.catalog());
        updateCertainty();
        mScheduler.expireLeases(mSimulation.nowMillis());
        mSimulation.retainTargets(mTerm, knownTargets());
        decide();
        mSimulation.after(TICK_MILLIS, this::tick);
    }

    /**
     * If owners are replaced only after their lease has expired, this one is no longer certain once
     * a newer one is elected; otherwise it learns that by its next renewal.
     */
    private void updateCertainty() {
        long nowMillis = mSimulation.nowMillis();
        boolean renews =
                !mSimulation.replacesLivingOwners()
                        || nowMillis - mConfirmedMillis >= RENEW_INTERVAL_MILLIS
                        || mScheduler.lacksConfirmation(nowMillis);
        if (renews && mSimulation.term() == mTerm) {
            mConfirmedMillis = nowMillis;
        }
        boolean certain =
                mSimulation.replacesLivingOwners()
                        ? nowMillis - mConfirmedMillis < ScheduleSimulation.OWNER_LEASE_MILLIS
                        : mSimulation.term() == mTerm;
        mScheduler.setOwnership(certain, mConfirmedMillis);
    }

    private Set<String> knownTargets() {
        return mScheduler.targets().stream()
                .map(target -> target.entry().id())
                .collect(Collectors.toSet());
    }

    private void addIfUnknown(SimulatedTarget target) {
        TargetEntry entry =
                SchedulerFixture.entry(target.id(), target.startedMillis(), TARGET_MILLICORES);
        TargetState state = mScheduler.onTargetListed(entry, mSimulation.nowMillis());
        if (!state.isRecorded() && mSimulation.storeTarget(mTerm, entry)) {
            state.setRecorded(true);
        }
        addLink(state);
    }

    private void addLink(TargetState state) {
        if (!mLinks.containsKey(state)) {
            mLinks.put(state, new Link());
            poll(state);
        }
    }

    private void poll(TargetState state) {
        if (mClosed || !mScheduler.targets().contains(state)) {
            return;
        }
        if (!state.abandonedRuns().isEmpty()) {
            stopAbandoned(state);
            return;
        }
        Link link = mLinks.get(state);
        long pollSentMillis = mSimulation.nowMillis();
        long lease = state.isReachable() ? grantLease(state, link) : 0;
        long recorded = link.mRecordedEnd;
        String id = state.entry().id();
        long startedMillis = state.entry().startedEpochMillis();
        mSimulation.call(
                mTerm,
                id,
                startedMillis,
                () -> {
                    SimulatedTarget target = mSimulation.target(id);
                    TargetReport report =
                            target.poll(mTerm, recorded, lease, mSimulation.nowMillis());
                    return new PollResponse(report, target.clock(mSimulation.nowMillis()));
                },
                response -> onPollResponse(state, link, response, pollSentMillis));
    }

    /** Response to a poll; the report is null if the target has seen a newer owner. */
    private record PollResponse(TargetReport report, long clock) {}

    private void onPollResponse(
            TargetState state, Link link, PollResponse response, long pollSentMillis) {
        if (mClosed) {
            return;
        }
        if (response == null) {
            state.setReachable(false);
            SimulatedTarget target = mSimulation.target(state.entry().id());
            boolean replaced =
                    !target.isUp() || target.startedMillis() != state.entry().startedEpochMillis();
            if (replaced) {
                mScheduler.onTargetEnded(state, mSimulation.nowMillis());
                return;
            }
            mSimulation.after(200, () -> poll(state));
            return;
        }
        if (response.report() == null) {
            close();
            return;
        }
        link.mClock = response.clock();
        link.mReadMillis = mSimulation.nowMillis();
        link.mKnown = true;
        state.setReachable(true);
        updateCertainty();
        mScheduler.onReport(
                state,
                response.report(),
                pollSentMillis,
                mSimulation.nowMillis(),
                mSimulation.nowMillis());
        for (TargetReport.RunEnd end : response.report().ends()) {
            if (end.kind() == EndKind.DONE) {
                mSimulation.onListedDone(end.task());
            }
        }
        storeChanges();
        response.report().ends().forEach(end -> link.mJobsOfEnds.add(end.task().jobId()));
        confirmEnds(state, link);
        decide();
        mSimulation.after(50, () -> poll(state));
    }

    /** Confirms ends once no write of their jobs is pending. */
    private void confirmEnds(TargetState state, Link link) {
        if (link.mJobsOfEnds.stream().noneMatch(mPendingWrites::containsKey)) {
            link.mRecordedEnd = state.lastProcessedEnd();
            link.mJobsOfEnds.clear();
        }
    }

    private long grantLease(TargetState state, Link link) {
        if (!link.mKnown) {
            return 0;
        }
        long end =
                link.mClock
                        + (mSimulation.nowMillis() - link.mReadMillis)
                        + ScheduleSimulation.LEASE_MILLIS;
        state.extendLease(link.mReadMillis + (long) Math.ceil((end - link.mClock) / SLOWEST_CLOCK));
        return end;
    }

    private void stopAbandoned(TargetState state) {
        Run run = state.abandonedRuns().get(0);
        sendStop(
                run,
                response -> {
                    if (response == SimulatedTarget.Response.OK) {
                        state.abandonedRuns().remove(run);
                    }
                    if (response == null) {
                        state.setReachable(false);
                    }
                    mSimulation.after(100, () -> poll(state));
                });
    }

    private void storeChanges() {
        for (String jobId : new ArrayList<>(mScheduler.takeChangedJobIds())) {
            mPendingWrites.merge(jobId, 1, Integer::sum);
            mSimulation.store(mTerm, jobId, mScheduler.progress(jobId), () -> onStored(jobId));
        }
    }

    private void onStored(String jobId) {
        mPendingWrites.computeIfPresent(jobId, (id, writes) -> writes == 1 ? null : writes - 1);
    }

    private void decide() {
        if (mClosed) {
            return;
        }
        storeChanges();
        updateCertainty();
        List<Order> orders = mScheduler.decide(mSimulation.nowMillis(), mSimulation.nowMillis());
        for (Order order : orders) {
            if (order instanceof Order.Start start) {
                sendStart(start.run());
            } else {
                Run run = order.run();
                sendStop(
                        run,
                        response ->
                                mScheduler.onStopResponse(
                                        run,
                                        response == SimulatedTarget.Response.OK,
                                        mSimulation.nowMillis()));
            }
        }
    }

    private void sendStart(Run run) {
        TargetState state = run.target();
        Link link = mLinks.get(state);
        long lease = grantLease(state, link);
        Job job = mSimulation.storedJobs().get(run.task().jobId());
        long duration = mSimulation.drawDurationMillis();
        EndKind kind = mSimulation.drawEnd();
        mSimulation.call(
                mTerm,
                state.entry().id(),
                state.entry().startedEpochMillis(),
                () ->
                        mSimulation
                                .target(state.entry().id())
                                .start(
                                        run.task(),
                                        run.number(),
                                        mTerm,
                                        lease,
                                        reservedResources(job, run.task()),
                                        duration,
                                        kind,
                                        mSimulation.nowMillis()),
                response -> onStartResponse(run, response));
    }

    private void onStartResponse(Run run, SimulatedTarget.Response response) {
        if (mClosed) {
            return;
        }
        if (response == SimulatedTarget.Response.FENCED) {
            close();
            return;
        }
        StartOutcome outcome =
                response == null
                        ? StartOutcome.UNKNOWN
                        : switch (response) {
                            case OK -> StartOutcome.ACCEPTED;
                            case OUTDATED -> StartOutcome.OUTDATED_RUN;
                            default -> StartOutcome.LATE;
                        };
        mScheduler.onStartResponse(run, outcome, mSimulation.nowMillis());
    }

    private void sendStop(Run run, Consumer<SimulatedTarget.Response> onResponse) {
        String id = run.target().entry().id();
        mSimulation.call(
                mTerm,
                id,
                run.target().entry().startedEpochMillis(),
                () ->
                        mSimulation
                                .target(id)
                                .stop(run.task(), run.number(), mTerm, mSimulation.nowMillis()),
                response -> {
                    if (response == SimulatedTarget.Response.FENCED) {
                        close();
                    } else if (!mClosed) {
                        onResponse.accept(response);
                    }
                });
    }

    private static ResourceAmounts reservedResources(Job job, TaskId task) {
        StepSpec step = job.spec().steps().get(task.step());
        return step.reservedResources();
    }
}
