package org.marigoldturn.coordination;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.jobs.wire.JobCall;
import org.marigoldturn.jobs.wire.JobReply;
import org.marigoldturn.jobs.wire.OwnerRecord;
import org.marigoldturn.peer.PeerNetwork;
import org.marigoldturn.peer.PeerNotReachableException;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;
import org.tinylog.Logger;

/**
 * Forwards clients' calls to the owner, which may be this daemon or a peer.
 *
 * <p>A call is safe to repeat, since a job keeps its id. It is repeated while the owner is unknown,
 * changing or not responding, until shortly before its deadline; a submission that has not reached
 * an owner is given up earlier. A submission that could not be completed is refused if no attempt
 * can have reached an owner; otherwise its outcome is unknown. All state is confined to the control
 * thread; {@link #call} and {@link #onPeerCall} may be called from any thread.
 */
public final class JobService {
    private static final long RETRY_MILLIS = 100;

    /** Reserved before the client's deadline for the response to reach the client. */
    private static final long RESPONSE_MARGIN_MILLIS = 250;

    /**
     * A submission that has not reached an owner is refused after this time; a change of owner
     * takes longer.
     */
    private static final long UNREACHED_SUBMISSION_MILLIS = 1_200;

    /** Timeout of one call to the owner, after which the call is repeated. */
    private static final long ATTEMPT_TIMEOUT_MILLIS = 1_000;

    /** Retry-After of a refused submission: a new owner serves within about this time. */
    private static final int NO_OWNER_RETRY_SECONDS = 2;

    private final ControlLoop mControl;
    private final Clocks mClocks;
    private final MetricRegistry mMetrics;
    private OwnerRecord mOwner = OwnerRecord.getDefaultInstance();
    private OwnerRole mRole;
    private PeerNetwork mPeers;

    JobService(ControlLoop control, Clocks clocks, MetricRegistry metrics) {
        mControl = control;
        mClocks = clocks;
        mMetrics = metrics;
    }

    void setPeers(PeerNetwork peers) {
        mPeers = peers;
    }

    void setOwner(OwnerRecord owner) {
        mOwner = owner;
    }

    void setRole(OwnerRole role) {
        mRole = role;
    }

    /** Returns whether an owner is known, which may be this daemon. */
    boolean isOwnerKnown() {
        return mRole != null || mOwner.getTerm() > 0;
    }

    /**
     * Handles a client's call.
     *
     * @param timeoutMillis time that the client waits from now on
     */
    public CompletableFuture<JobReply> call(JobCall call, long timeoutMillis) {
        CompletableFuture<JobReply> reply = new CompletableFuture<>();
        mControl.execute(
                () -> {
                    long now = mClocks.now();
                    new Attempts(call, now, now + timeoutMillis - RESPONSE_MARGIN_MILLIS, reply)
                            .next();
                });
        return reply;
    }

    /** Handles a call that another daemon forwarded. */
    CompletableFuture<Envelope.Builder> onPeerCall(Envelope message) {
        JobCall call;
        try {
            call = JobCall.parseFrom(message.getJobCall());
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.failedFuture(e);
        }
        CompletableFuture<Envelope.Builder> reply = new CompletableFuture<>();
        mControl.execute(
                () ->
                        handleLocally(call)
                                .orElseGet(() -> CompletableFuture.completedFuture(notOwner()))
                                .whenComplete(
                                        (response, failure) -> {
                                            if (failure == null) {
                                                reply.complete(
                                                        Envelope.newBuilder()
                                                                .setJobReply(
                                                                        response.toByteString()));
                                            } else {
                                                reply.completeExceptionally(failure);
                                            }
                                        }));
        return reply;
    }

    private Optional<CompletableFuture<JobReply>> handleLocally(JobCall call) {
        return Optional.ofNullable(mRole)
                .flatMap(OwnerRole::calls)
                .map(calls -> calls.handle(call));
    }

    private static JobReply notOwner() {
        return JobReply.newBuilder().setOutcome(JobReply.Outcome.NOT_OWNER).build();
    }

    /** The attempts of one call. */
    private final class Attempts {
        private final JobCall mCall;
        private final long mStartedMillis;
        private final long mDeadlineMillis;
        private final CompletableFuture<JobReply> mReply;
        private boolean mMayHaveArrived;

        Attempts(
                JobCall call,
                long startedMillis,
                long deadlineMillis,
                CompletableFuture<JobReply> reply) {
            mCall = call;
            mStartedMillis = startedMillis;
            mDeadlineMillis = deadlineMillis;
            mReply = reply;
        }

        void next() {
            long now = mClocks.now();
            if (isOver(now)) {
                giveUp();
                return;
            }
            Optional<CompletableFuture<JobReply>> local = handleLocally(withTimeLeft(now));
            if (local.isPresent()) {
                mMayHaveArrived = true;
                local.get().whenComplete(this::onReply);
                mControl.after("job call deadline", mDeadlineMillis - now, this::giveUp);
            } else if (mRole != null || mOwner.getTerm() == 0 || mPeers == null) {
                retryLater();
            } else {
                callPeer(now);
            }
        }

        private JobCall withTimeLeft(long now) {
            return mCall.toBuilder().setTimeLeftMillis(mDeadlineMillis - now).build();
        }

        private boolean isOver(long now) {
            boolean isSubmission = mCall.getKind() == JobCall.Kind.HAND_IN;
            boolean unreached =
                    isSubmission
                            && !mMayHaveArrived
                            && now - mStartedMillis >= UNREACHED_SUBMISSION_MILLIS;
            return unreached || now >= mDeadlineMillis;
        }

        private void callPeer(long now) {
            long timeout = Math.max(1, Math.min(ATTEMPT_TIMEOUT_MILLIS, mDeadlineMillis - now));
            mPeers.call(
                            mOwner.getOwnerId(),
                            Envelope.newBuilder().setJobCall(withTimeLeft(now).toByteString()),
                            timeout)
                    .whenComplete(
                            (envelope, failure) ->
                                    mControl.execute(() -> onPeerReply(envelope, failure)));
        }

        private void onPeerReply(Envelope envelope, Throwable failure) {
            if (failure != null) {
                mMayHaveArrived |= !(failure instanceof PeerNotReachableException);
                retryLater();
                return;
            }
            try {
                onReply(JobReply.parseFrom(envelope.getJobReply()), null);
            } catch (InvalidProtocolBufferException e) {
                onReply(null, e);
            }
        }

        private void onReply(JobReply reply, Throwable failure) {
            if (failure != null || reply.getOutcome() == JobReply.Outcome.NOT_OWNER) {
                retryLater();
            } else {
                mReply.complete(reply);
            }
        }

        private void retryLater() {
            mControl.after("job call retry", RETRY_MILLIS, this::next);
        }

        /** The client's deadline had passed when the call arrived. */
        private void rejectLate() {
            Logger.info(
                    "job: event=arrived-late id={} call={} lateMillis={}",
                    mCall.getJob().getId(),
                    mCall.getKind(),
                    mStartedMillis - mDeadlineMillis);
            mMetrics.counter("calls.arrived-late").inc();
            boolean isSubmission = mCall.getKind() == JobCall.Kind.HAND_IN;
            mReply.complete(
                    JobReply.newBuilder()
                            .setOutcome(
                                    isSubmission
                                            ? JobReply.Outcome.REFUSED
                                            : JobReply.Outcome.UNKNOWN_OUTCOME)
                            .setRetryAfterSeconds(isSubmission ? NO_OWNER_RETRY_SECONDS : 0)
                            .setReason("deadline-passed")
                            .build());
        }

        private void giveUp() {
            if (mReply.isDone()) {
                return;
            }
            if (mClocks.now() >= mDeadlineMillis && mStartedMillis >= mDeadlineMillis) {
                rejectLate();
                return;
            }
            boolean refused = mCall.getKind() == JobCall.Kind.HAND_IN && !mMayHaveArrived;
            Logger.info(
                    "job: event=given-up id={} call={} refused={} owner={} waitedMillis={}",
                    mCall.getJob().getId(),
                    mCall.getKind(),
                    refused,
                    mOwner.getOwnerId(),
                    mClocks.now() - mStartedMillis);
            mReply.complete(
                    JobReply.newBuilder()
                            .setOutcome(
                                    refused
                                            ? JobReply.Outcome.REFUSED
                                            : JobReply.Outcome.UNKNOWN_OUTCOME)
                            .setRetryAfterSeconds(refused ? NO_OWNER_RETRY_SECONDS : 0)
                            .setReason("no-owner")
                            .build());
        }
    }

    /** Returns the member set that connects this daemon to the owner, unless it is the owner. */
    static MemberSet membersOf(OwnerRecord owner, String selfId) {
        if (owner.getOwnerId().isEmpty() || owner.getOwnerId().equals(selfId)) {
            return MemberSet.EMPTY;
        }
        return new MemberSet(
                List.of(
                        new Member(
                                owner.getOwnerId(),
                                owner.getZone(),
                                owner.getAddress(),
                                owner.getPeerPort(),
                                owner.getPeerPort(),
                                0)));
    }
}
