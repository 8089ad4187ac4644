package org.marigoldturn.scheduling;

/**
 * Decision on a hand-in. Immutable.
 *
 * @param accepted whether the job is to be stored and run
 * @param retryAfterSeconds when a refused client should come back; 0 if accepted
 * @param reason short word for log lines and answers
 * @param forecast what decided
 */
public record Admission(boolean accepted, int retryAfterSeconds, String reason, Forecast forecast) {
    /**
     * The owner's view at the time of the decision.
     *
     * @param waitMillis time until its first task would start
     * @param slackMillis time that it may wait within its objective
     * @param freeMillicores processors of the service's targets without a task
     * @param capacityMillicores processors of the service's usable targets
     */
    public record Forecast(
            long waitMillis, long slackMillis, long freeMillicores, long capacityMillicores) {
        static final Forecast NONE = new Forecast(0, 0, 0, 0);
    }

    static Admission accept(Forecast forecast) {
        return new Admission(true, 0, "accepted", forecast);
    }

    static Admission refuse(int retryAfterSeconds, String reason, Forecast forecast) {
        return new Admission(false, retryAfterSeconds, reason, forecast);
    }
}
