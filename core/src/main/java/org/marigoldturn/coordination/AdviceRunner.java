package org.marigoldturn.coordination;

import java.util.Map;
import org.marigoldturn.scheduling.AdviceRequest;
import org.marigoldturn.scheduling.JobScheduler;
import org.tinylog.Logger;

/**
 * Sends the scheduler's requests to the policy service, one at a time.
 *
 * <p>The service handles the calls of one daemon sequentially, so a second call would only wait
 * there and could no longer be replaced by a more urgent one. Confined to the control thread.
 */
final class AdviceRunner {
    /** Pause after a failed request; the service rejects calls while 32 are waiting. */
    private static final long RETRY_MILLIS = 300;

    private final OwnerContext mContext;
    private final JobScheduler mScheduler;
    private final Runnable mOnFinished;
    private boolean mRequestOpen;

    AdviceRunner(OwnerContext context, JobScheduler scheduler, Runnable onFinished) {
        mContext = context;
        mScheduler = scheduler;
        mOnFinished = onFinished;
    }

    /** Sends the next request unless one is open. */
    void run(long nowMillis) {
        if (mRequestOpen) {
            return;
        }
        mScheduler
                .nextAdviceRequest(nowMillis, mContext.clocks().epoch())
                .ifPresent(request -> ask(request, nowMillis));
    }

    private void ask(AdviceRequest request, long nowMillis) {
        mRequestOpen = true;
        mContext.advice()
                .ask(request)
                .whenComplete(
                        (tickets, failure) ->
                                mContext.control()
                                        .execute(
                                                () -> {
                                                    if (failure == null) {
                                                        onResponse(request, tickets, nowMillis);
                                                    } else {
                                                        onFailure(request, failure);
                                                    }
                                                }));
    }

    private void onResponse(AdviceRequest request, Map<String, String> tickets, long askedMillis) {
        Logger.info(
                "advice: event=answer id={} step={}.{} asked={} allowed={} tookMillis={}",
                request.jobId(),
                request.occurrence(),
                request.step(),
                request.targets().size(),
                tickets.size(),
                mContext.clocks().now() - askedMillis);
        mContext.metrics().counter("advice.answered").inc();
        mScheduler.onAdviceResponse(request, tickets, askedMillis);
        mRequestOpen = false;
        mOnFinished.run();
    }

    private void onFailure(AdviceRequest request, Throwable failure) {
        Logger.warn(
                "advice: event=unanswered id={} step={}.{} asked={} cause=\"{}\"",
                request.jobId(),
                request.occurrence(),
                request.step(),
                request.targets().size(),
                failure.getMessage());
        mContext.metrics().counter("advice.unanswered").inc();
        mContext.control()
                .after(
                        "advice retry",
                        RETRY_MILLIS,
                        () -> {
                            mRequestOpen = false;
                            mOnFinished.run();
                        });
    }
}
