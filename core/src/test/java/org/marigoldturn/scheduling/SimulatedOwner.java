package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobProgress;

/** One owner in a simulation: a scheduler, a poll of each target and orders without threads. */
final class SimulatedOwner {
    static final long TARGET_MILLICORES = 4_000;
    private static final double SLOWEST_CLOCK = 0.98;
    private static final long TICK_MILLIS = 100;

    private final ScheduleSimulation mWorld;
    private final long mTerm;
    private final JobScheduler mScheduler;
    private final Map<TargetState, Link> mLinks = new HashMap<>();
    private boolean mClosed;

    /** What is known of a target's clock, and which of its ends are noted. */
    private static final class Link {
        private long mClock;
        private long mReadMillis;
        private boolean mKnown;
        private long mNotedEnd;
    }

    SimulatedOwner(ScheduleSimulation world) {
        mWorld = world;
        mTerm = world.term();
        mScheduler =
                new JobScheduler(
                        SchedulerFixture.catalog(SchedulerFixture.ACCOUNT),
                        mTerm,
                        world.nowMillis(),
                        ScheduleSimulation.longestLeaseMillis());
    }

    void start() {
        for (Job job : mWorld.storedJobs().values()) {
            mScheduler.restore(
                    job,
                    mWorld.storedProgress().getOrDefault(job.id(), JobProgress.NONE),
                    mWorld.nowMillis());
        }
        tick();
    }

    void close() {
        mClosed = true;
    }

    void accept(Job job) {
        Admission admission =
                mScheduler.submit(
                        job, SchedulerFixture.QUEUE, mWorld.nowMillis(), mWorld.nowMillis());
        if (admission.accepted()) {
            mScheduler.onStored(job.id());
        } else {
            // It is in the store: the owner schedules it as one of an earlier owner.
            mScheduler.restore(job, JobProgress.NONE, mWorld.nowMillis());
        }
    }

    void cancel(String jobId) {
        mScheduler.cancel(jobId, mWorld.nowMillis());
        storeChanges();
    }

    private void tick() {
        if (mClosed) {
            return;
        }
        for (SimulatedTarget target : mWorld.targets()) {
            if (target.isUp()) {
                follow(target);
            }
        }
        updateCertainty();
        mScheduler.expireLeases(mWorld.nowMillis());
        decide();
        mWorld.after(TICK_MILLIS, this::tick);
    }

    /** Its lease in the store has ended before the next owner was elected. */
    private void updateCertainty() {
        mScheduler.setOwnerCertain(mWorld.term() == mTerm);
    }

    private void follow(SimulatedTarget target) {
        TargetState state =
                mScheduler.onTargetListed(
                        SchedulerFixture.entry(
                                target.id(), target.startedMillis(), TARGET_MILLICORES));
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
        long asked = mWorld.nowMillis();
        long lease = state.isReachable() ? grantLease(state, link) : 0;
        long noted = link.mNotedEnd;
        String id = state.entry().id();
        long life = state.entry().startedEpochMillis();
        mWorld.call(
                mTerm,
                id,
                life,
                () -> {
                    SimulatedTarget target = mWorld.target(id);
                    TargetReport report = target.look(mTerm, noted, lease, mWorld.nowMillis());
                    return new Look(report, target.clock(mWorld.nowMillis()));
                },
                look -> onLook(state, link, look, asked));
    }

    /** An answer to a look; without a report if the target has seen a newer owner. */
    private record Look(TargetReport report, long clock) {}

    private void onLook(TargetState state, Link link, Look look, long asked) {
        if (mClosed) {
            return;
        }
        if (look == null) {
            state.setReachable(false);
            SimulatedTarget target = mWorld.target(state.entry().id());
            boolean replaced =
                    !target.isUp() || target.startedMillis() != state.entry().startedEpochMillis();
            if (replaced) {
                mScheduler.onTargetEnded(state);
                return;
            }
            mWorld.after(200, () -> poll(state));
            return;
        }
        if (look.report() == null) {
            close();
            return;
        }
        link.mClock = look.clock();
        link.mReadMillis = mWorld.nowMillis();
        link.mKnown = true;
        state.setReachable(true);
        updateCertainty();
        mScheduler.onReport(state, look.report(), asked, mWorld.nowMillis(), mWorld.nowMillis());
        for (TargetReport.RunEnd end : look.report().ends()) {
            if (end.kind() == EndKind.DONE) {
                mWorld.onListedDone(end.task());
            }
        }
        if (storeChanges()) {
            link.mNotedEnd = state.lastProcessedEnd();
        }
        decide();
        mWorld.after(50, () -> poll(state));
    }

    private long grantLease(TargetState state, Link link) {
        if (!link.mKnown) {
            return 0;
        }
        long end =
                link.mClock
                        + (mWorld.nowMillis() - link.mReadMillis)
                        + ScheduleSimulation.LEASE_MILLIS;
        state.extendLease(link.mReadMillis + (long) Math.ceil((end - link.mClock) / SLOWEST_CLOCK));
        return end;
    }

    private void stopAbandoned(TargetState state) {
        Run run = state.abandonedRuns().get(0);
        sendStop(
                run,
                answer -> {
                    if (answer == SimulatedTarget.Answer.OK) {
                        state.abandonedRuns().remove(run);
                    }
                    if (answer == null) {
                        state.setReachable(false);
                    }
                    mWorld.after(100, () -> poll(state));
                });
    }

    /** Writes the changed progress; returns false if a newer owner has fenced this one. */
    private boolean storeChanges() {
        boolean stored = true;
        for (String jobId : new ArrayList<>(mScheduler.takeChanged())) {
            stored &= mWorld.store(mTerm, jobId, mScheduler.progress(jobId));
        }
        return stored && mWorld.term() == mTerm;
    }

    private void decide() {
        if (mClosed) {
            return;
        }
        storeChanges();
        updateCertainty();
        List<Order> orders = mScheduler.decide(mWorld.nowMillis(), mWorld.nowMillis());
        for (Order order : orders) {
            if (order instanceof Order.Start start) {
                sendStart(start.run());
            } else {
                Run run = order.run();
                sendStop(
                        run,
                        answer ->
                                mScheduler.onStopAnswer(
                                        run,
                                        answer == SimulatedTarget.Answer.OK,
                                        mWorld.nowMillis()));
            }
        }
    }

    private void sendStart(Run run) {
        TargetState state = run.target();
        Link link = mLinks.get(state);
        long lease = grantLease(state, link);
        Job job = mWorld.storedJobs().get(run.task().jobId());
        long duration = mWorld.drawDurationMillis();
        EndKind kind = mWorld.drawEnd();
        mWorld.call(
                mTerm,
                state.entry().id(),
                state.entry().startedEpochMillis(),
                () ->
                        mWorld.target(state.entry().id())
                                .start(
                                        run.task(),
                                        run.number(),
                                        mTerm,
                                        lease,
                                        ScheduleSimulation.claim(job, run.task()),
                                        duration,
                                        kind,
                                        mWorld.nowMillis()),
                answer -> onStartAnswer(run, answer));
    }

    private void onStartAnswer(Run run, SimulatedTarget.Answer answer) {
        if (mClosed) {
            return;
        }
        if (answer == SimulatedTarget.Answer.FENCED) {
            close();
            return;
        }
        StartOutcome outcome =
                answer == null
                        ? StartOutcome.UNKNOWN
                        : switch (answer) {
                            case OK -> StartOutcome.ACCEPTED;
                            case OLD -> StartOutcome.OUTDATED_RUN;
                            default -> StartOutcome.LATE;
                        };
        mScheduler.onStartAnswer(run, outcome, mWorld.nowMillis());
    }

    private void sendStop(Run run, Consumer<SimulatedTarget.Answer> answered) {
        String id = run.target().entry().id();
        mWorld.call(
                mTerm,
                id,
                run.target().entry().startedEpochMillis(),
                () -> mWorld.target(id).stop(run.task(), run.number(), mTerm, mWorld.nowMillis()),
                answer -> {
                    if (answer == SimulatedTarget.Answer.FENCED) {
                        close();
                    } else if (!mClosed) {
                        answered.accept(answer);
                    }
                });
    }
}
