package org.marigoldturn.scheduling;

/**
 * Decision on the submission of a job. Immutable.
 *
 * @param accepted whether the job is to be stored and run
 * @param retryAfterSeconds delay after which a refused client should submit again; 0 if accepted
 * @param reason short keyword for log lines and responses
 * @param forecast load of the service at the time of the decision
 */
public record Admission(boolean accepted, int retryAfterSeconds, String reason, Forecast forecast) {
    /** Reason of a refusal because of the backlog. */
    public static final String OVERLOAD = "overload";

    /** Reason of a refusal for overload of a job that exceeds its account's entitlement. */
    public static final String OVER_ENTITLEMENT = "over-entitlement";

    /** Reason of an acceptance beyond the account's entitlement, which capacity allows. */
    public static final String ACCEPTED_BEYOND_ENTITLEMENT = "accepted-beyond-entitlement";

    /**
     * Upper bound on the delay asked of a refused client, since the load changes within seconds.
     */
    static final int MAX_RETRY_AFTER_SECONDS = 5;

    /**
     * Load of the job's service as the owner estimated it for the decision.
     *
     * @param waitMillis time that the service needs for its backlog ahead of the job
     * @param slackMillis time for which the job may wait and still meet its objective
     * @param freeMillicores processors of the usable targets that no run reserves, in thousandths
     *     of a core
     * @param capacityMillicores processors of the usable and the unread targets and of hosts that
     *     are being moved to the service, in thousandths of a core
     * @param unreadTargets number of targets of the service that have not reported to this owner;
     *     what runs there is not known
     * @param fitsFreeRoom whether the first step would fit into the free processors and memory,
     *     which ready tasks of other jobs may claim
     */
    public record Forecast(
            long waitMillis,
            long slackMillis,
            long freeMillicores,
            long capacityMillicores,
            int unreadTargets,
            boolean fitsFreeRoom) {
        static final Forecast NONE = new Forecast(0, 0, 0, 0, 0, false);

        /** Returns how much longer the wait is than what the objective allows. */
        long excessMillis() {
            return Math.max(0, waitMillis - slackMillis);
        }
    }

    static Admission accept(Forecast forecast) {
        return new Admission(true, 0, "accepted", forecast);
    }

    /** Returns an acceptance that says whether the job is within its account's entitlement. */
    Admission entitled(boolean entitled) {
        return new Admission(
                accepted,
                retryAfterSeconds,
                entitled ? reason : ACCEPTED_BEYOND_ENTITLEMENT,
                forecast);
    }

    /** Returns the same decision with a delay after which the client should submit again. */
    Admission retryAfter(int seconds) {
        return new Admission(accepted, seconds, reason, forecast);
    }

    static Admission refuse(int retryAfterSeconds, String reason, Forecast forecast) {
        return new Admission(false, retryAfterSeconds, reason, forecast);
    }
}
