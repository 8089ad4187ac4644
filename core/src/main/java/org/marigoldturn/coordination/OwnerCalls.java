package org.marigoldturn.coordination;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobRecords;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.wire.JobCall;
import org.marigoldturn.jobs.wire.JobReply;
import org.marigoldturn.scheduling.Admission;
import org.marigoldturn.scheduling.JobScheduler;
import org.tinylog.Logger;

/**
 * Handles clients' calls on the owner.
 *
 * <p>An acceptance, a cancellation and a final state are reported only once the store holds them; a
 * job is reported as unknown only while the store holds the owner's term. Confined to the control
 * thread.
 */
final class OwnerCalls {
    /**
     * Retry delay told to clients while the store is unavailable; the store is called again within
     * a second, and outages last seconds.
     */
    private static final int STORE_UNAVAILABLE_RETRY_SECONDS = 2;

    private final JobScheduler mScheduler;
    private final GroupCommit mCommits;
    private final OperatorView mOperator;
    private final Clocks mClocks;
    private final MetricRegistry mMetrics;
    private final Runnable mOnChange;
    private final Map<String, CompletableFuture<JobReply>> mPendingSubmissions = new HashMap<>();

    OwnerCalls(
            JobScheduler scheduler,
            GroupCommit commits,
            OperatorView operator,
            Clocks clocks,
            MetricRegistry metrics,
            Runnable onChange) {
        mScheduler = scheduler;
        mCommits = commits;
        mOperator = operator;
        mClocks = clocks;
        mMetrics = metrics;
        mOnChange = onChange;
    }

    CompletableFuture<JobReply> handle(JobCall call) {
        return switch (call.getKind()) {
            case HAND_IN -> submit(call);
            case LOOK -> queryState(call.getJob().getId());
            case CANCEL -> cancel(call.getJob().getId());
            case COUNT_WAITING ->
                    completed(
                            JobReply.newBuilder()
                                    .setOutcome(JobReply.Outcome.WAITING_COUNT)
                                    .setWaitingJobs(
                                            mScheduler.countWaiting(call.getJob().getQueue())));
            case UNRECOGNIZED -> completed(refusal("unknown-call", 1));
        };
    }

    private CompletableFuture<JobReply> submit(JobCall call) {
        Job job = JobRecords.fromRecord(call.getJob());
        CompletableFuture<JobReply> pending = mPendingSubmissions.get(job.id());
        if (pending != null) {
            return pending;
        }
        if (mScheduler.state(job.id()).isPresent()) {
            return completed(accepted());
        }
        Optional<QueueSettings> queue =
                mOperator.catalog().flatMap(catalog -> catalog.queue(job.queue()));
        if (queue.isEmpty()) {
            return completed(refuse(job, "queue-not-known-here", 1));
        }
        if (mCommits.isStalled(mClocks.now())) {
            return completed(refuse(job, "store-away", STORE_UNAVAILABLE_RETRY_SECONDS));
        }
        Admission admission =
                mScheduler.submit(
                        job, queue.get(), call.getTimeLeftMillis(), mClocks.now(), mClocks.epoch());
        log(job, queue.get(), admission);
        if (!admission.accepted()) {
            return completed(refusal(admission.reason(), admission.retryAfterSeconds()));
        }
        return store(job);
    }

    private CompletableFuture<JobReply> store(Job job) {
        CompletableFuture<JobReply> reply =
                mCommits.put(StoreLayout.job(job.id()), JobRecords.encode(job))
                        .thenApply(
                                done -> {
                                    mPendingSubmissions.remove(job.id());
                                    mScheduler.onStored(job.id());
                                    mOnChange.run();
                                    return accepted().build();
                                });
        if (!reply.isDone()) {
            mPendingSubmissions.put(job.id(), reply);
        }
        return reply;
    }

    private CompletableFuture<JobReply> queryState(String jobId) {
        Optional<JobState> state = mScheduler.state(jobId);
        if (state.isEmpty() || mPendingSubmissions.containsKey(jobId)) {
            return notFound(jobId);
        }
        JobReply reply =
                JobReply.newBuilder()
                        .setOutcome(JobReply.Outcome.STATE)
                        .setState(state.get().ordinal())
                        .build();
        return state.get().isFinal()
                ? mCommits.whenStored(StoreLayout.progress(jobId)).thenApply(done -> reply)
                : CompletableFuture.completedFuture(reply);
    }

    private CompletableFuture<JobReply> cancel(String jobId) {
        if (!mScheduler.cancel(jobId, mClocks.epoch())) {
            return notFound(jobId);
        }
        mOnChange.run();
        Logger.info("job: event=cancel id={} state={}", jobId, mScheduler.state(jobId).get());
        return mCommits.put(
                        StoreLayout.progress(jobId), JobRecords.encode(mScheduler.progress(jobId)))
                .thenApply(
                        done ->
                                JobReply.newBuilder()
                                        .setOutcome(JobReply.Outcome.CANCELLED)
                                        .build());
    }

    /** A newer owner may have accepted the job, so the store must still hold this owner's term. */
    private CompletableFuture<JobReply> notFound(String jobId) {
        return mCommits.checkTerm()
                .thenApply(
                        current -> {
                            Logger.info("job: event=not-found id={} owner={}", jobId, current);
                            JobReply.Outcome outcome =
                                    current
                                            ? JobReply.Outcome.NOT_FOUND
                                            : JobReply.Outcome.NOT_OWNER;
                            return JobReply.newBuilder().setOutcome(outcome).build();
                        });
    }

    private void log(Job job, QueueSettings queue, Admission admission) {
        mMetrics.counter("handins." + admission.reason()).inc();
        if (!admission.accepted() && admission.forecast().fitsFreeRoom()) {
            mMetrics.counter("refused-while-fitting." + queue.service()).inc();
        }
        Logger.info(
                "job: event=hand-in id={} queue={} account={} accepted={} reason={}"
                        + " retryAfterSeconds={} waitMillis={} slackMillis={}"
                        + " freeMillicores={} capacityMillicores={} unreadTargets={}"
                        + " fitsFreeRoom={}",
                job.id(),
                job.queue(),
                job.account(),
                admission.accepted(),
                admission.reason(),
                admission.retryAfterSeconds(),
                admission.forecast().waitMillis(),
                admission.forecast().slackMillis(),
                admission.forecast().freeMillicores(),
                admission.forecast().capacityMillicores(),
                admission.forecast().unreadTargets(),
                admission.forecast().fitsFreeRoom());
    }

    private JobReply.Builder refuse(Job job, String reason, int retryAfterSeconds) {
        mMetrics.counter("handins." + reason).inc();
        Logger.info("job: event=hand-in id={} accepted=false reason={}", job.id(), reason);
        return refusal(reason, retryAfterSeconds);
    }

    private static JobReply.Builder accepted() {
        return JobReply.newBuilder().setOutcome(JobReply.Outcome.ACCEPTED);
    }

    private static JobReply.Builder refusal(String reason, int retryAfterSeconds) {
        return JobReply.newBuilder()
                .setOutcome(JobReply.Outcome.REFUSED)
                .setReason(reason)
                .setRetryAfterSeconds(retryAfterSeconds);
    }

    private static CompletableFuture<JobReply> completed(JobReply.Builder reply) {
        return CompletableFuture.completedFuture(reply.build());
    }
}
