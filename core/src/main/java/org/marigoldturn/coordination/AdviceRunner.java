package org.marigoldturn.coordination;

import java.util.Map;
import org.marigoldturn.scheduling.AdviceQuestion;
import org.marigoldturn.scheduling.JobScheduler;
import org.tinylog.Logger;

/**
 * Sends the scheduler's questions to the policy service, one at a time.
 *
 * <p>The service handles the calls of one daemon sequentially, so a second call would only wait
 * there and could no longer be replaced by a more urgent one. Confined to the control thread.
 */
final class AdviceRunner {
    /** Pause after a failed question; the service rejects calls while 32 are waiting. */
    private static final long RETRY_MILLIS = 300;

    private final OwnerContext mContext;
    private final JobScheduler mScheduler;
    private final Runnable mOnFinished;
    private boolean mQuestionOpen;

    AdviceRunner(OwnerContext context, JobScheduler scheduler, Runnable onFinished) {
        mContext = context;
        mScheduler = scheduler;
        mOnFinished = onFinished;
    }

    /** Asks the next question unless one is open. */
    void run(long nowMillis) {
        if (mQuestionOpen) {
            return;
        }
        mScheduler
                .nextQuestion(nowMillis, mContext.clocks().epoch())
                .ifPresent(question -> ask(question, nowMillis));
    }

    private void ask(AdviceQuestion question, long nowMillis) {
        mQuestionOpen = true;
        mContext.advice()
                .ask(question)
                .whenComplete(
                        (tickets, failure) ->
                                mContext.control()
                                        .execute(
                                                () -> {
                                                    if (failure == null) {
                                                        onResponse(question, tickets, nowMillis);
                                                    } else {
                                                        onFailure(question, failure);
                                                    }
                                                }));
    }

    private void onResponse(
            AdviceQuestion question, Map<String, String> tickets, long askedMillis) {
        Logger.info(
                "advice: event=answer id={} step={}.{} asked={} allowed={} tookMillis={}",
                question.jobId(),
                question.occurrence(),
                question.step(),
                question.targets().size(),
                tickets.size(),
                mContext.clocks().now() - askedMillis);
        mContext.metrics().counter("advice.answered").inc();
        mScheduler.onAdvice(question, tickets, askedMillis);
        mQuestionOpen = false;
        mOnFinished.run();
    }

    private void onFailure(AdviceQuestion question, Throwable failure) {
        Logger.warn(
                "advice: event=unanswered id={} step={}.{} asked={} cause=\"{}\"",
                question.jobId(),
                question.occurrence(),
                question.step(),
                question.targets().size(),
                failure.getMessage());
        mContext.metrics().counter("advice.unanswered").inc();
        mContext.control()
                .after(
                        "advice retry",
                        RETRY_MILLIS,
                        () -> {
                            mQuestionOpen = false;
                            mOnFinished.run();
                        });
    }
}
