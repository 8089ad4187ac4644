package org.marigoldturn.coordination;

import java.util.Map;
import org.marigoldturn.scheduling.AdviceQuestion;
import org.marigoldturn.scheduling.JobScheduler;
import org.tinylog.Logger;

/**
 * Asks the policy service, one question at a time.
 *
 * <p>The service handles the calls of one daemon in turn, so a second call would only wait there
 * and could no longer be replaced by a more urgent one. Confined to the control thread.
 */
final class AdviceRunner {
    /** After a missing answer; the service turns calls away while 32 wait. */
    private static final long RETRY_MILLIS = 300;

    private final OwnerContext mContext;
    private final JobScheduler mScheduler;
    private final Runnable mOnAnswer;
    private boolean mAsking;

    AdviceRunner(OwnerContext context, JobScheduler scheduler, Runnable onAnswer) {
        mContext = context;
        mScheduler = scheduler;
        mOnAnswer = onAnswer;
    }

    /** Asks the next question if none is open. */
    void run(long nowMillis) {
        if (mAsking) {
            return;
        }
        mScheduler
                .nextQuestion(nowMillis, mContext.clocks().epoch())
                .ifPresent(question -> ask(question, nowMillis));
    }

    private void ask(AdviceQuestion question, long nowMillis) {
        mAsking = true;
        mContext.advice()
                .ask(question)
                .whenComplete(
                        (tickets, failure) ->
                                mContext.control()
                                        .execute(
                                                () -> {
                                                    if (failure == null) {
                                                        onAnswer(question, tickets, nowMillis);
                                                    } else {
                                                        onFailure(question, failure);
                                                    }
                                                }));
    }

    private void onAnswer(AdviceQuestion question, Map<String, String> tickets, long askedMillis) {
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
        mAsking = false;
        mOnAnswer.run();
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
                            mAsking = false;
                            mOnAnswer.run();
                        });
    }
}
