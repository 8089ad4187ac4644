package org.marigoldturn.coordination;

import java.util.concurrent.CompletableFuture;
import org.marigoldturn.scheduling.Order;
import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.StartOutcome;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;

/**
 * Port to the targets. Implementations are thread safe and never block; futures of {@link #look}
 * and {@link #stop} fail with a {@link TargetCallException}.
 */
public interface TargetClient {
    /** Asks a target for its runs and renews its lease. */
    CompletableFuture<LookAnswer> look(TargetEntry target, LookRequest request);

    /** Orders a target to start a run; a missing answer is {@link StartOutcome#UNKNOWN}. */
    CompletableFuture<StartOutcome> start(
            TargetEntry target, Order.Start order, long term, long leaseEndTargetMillis);

    /** Orders a target to stop a run. */
    CompletableFuture<Void> stop(TargetEntry target, Run run, long term);

    /**
     * A look at a target.
     *
     * @param term the owner's term, below which the target obeys nobody from then on
     * @param notedEnd highest number of an end that the store holds
     * @param leaseEndTargetMillis end of the lease on the target's clock; 0 does not renew it
     * @param waitMillis how long the answer may wait for an end
     */
    record LookRequest(long term, long notedEnd, long leaseEndTargetMillis, long waitMillis) {}

    /**
     * Answer to a look.
     *
     * @param targetMillis the target's clock
     * @param report its runs
     */
    record LookAnswer(long targetMillis, TargetReport report) {}
}
