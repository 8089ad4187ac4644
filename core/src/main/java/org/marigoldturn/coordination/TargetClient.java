package org.marigoldturn.coordination;

import java.util.concurrent.CompletableFuture;
import org.marigoldturn.scheduling.Order;
import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.StartOutcome;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;

/**
 * Port to the targets. Implementations are thread safe and never block. The futures of {@link
 * #poll} and {@link #stop} fail with a {@link TargetCallException}; any other failure counts as
 * {@link TargetCallException.Kind#UNANSWERED}.
 */
public interface TargetClient {
    /** Polls a target for its runs and renews its lease. */
    CompletableFuture<PollResponse> poll(TargetEntry target, PollRequest request);

    /**
     * Orders a target to start a run; a missing response is {@link StartOutcome#UNKNOWN}.
     *
     * @param token the {@link FencingToken}
     * @param leaseEndTargetMillis end of the lease on the target's clock
     */
    CompletableFuture<StartResponse> start(
            TargetEntry target, Order.Start order, long token, long leaseEndTargetMillis);

    /**
     * Orders a target to stop a run.
     *
     * @param token the {@link FencingToken}
     */
    CompletableFuture<Void> stop(TargetEntry target, Run run, long token);

    /**
     * Response to a start order.
     *
     * @param targetMillis present time of the target's clock; {@link #UNKNOWN_MILLIS} if the
     *     response does not tell it
     */
    record StartResponse(StartOutcome outcome, long targetMillis) {
        static final long UNKNOWN_MILLIS = Long.MAX_VALUE;

        /** Returns a response that does not tell the time. */
        public static StartResponse of(StartOutcome outcome) {
            return new StartResponse(outcome, UNKNOWN_MILLIS);
        }
    }

    /**
     * A poll of a target.
     *
     * @param token the {@link FencingToken}; from then on the target rejects lower ones
     * @param recordedEnd highest number of a run's end that the store holds
     * @param leaseEndTargetMillis end of the lease on the target's clock; 0 does not renew it
     * @param waitMillis how long the target may wait for a run to end before it responds
     */
    record PollRequest(long token, long recordedEnd, long leaseEndTargetMillis, long waitMillis) {}

    /**
     * Response to a poll.
     *
     * @param targetMillis present time of the target's clock
     * @param report the target's runs
     */
    record PollResponse(long targetMillis, TargetReport report) {}
}
