package org.marigoldturn.scheduling;

/**
 * Decision on a hand-in. Immutable.
 *
 * @param accepted whether the job is to be stored and run
 * @param retryAfterSeconds when a refused client should come back; 0 if accepted
 * @param reason short word for log lines and answers
 * @param forecastWaitMillis time until its first task would start
 */
public record Admission(
        boolean accepted, int retryAfterSeconds, String reason, long forecastWaitMillis) {
    static Admission accept(long waitMillis) {
        return new Admission(true, 0, "accepted", waitMillis);
    }

    static Admission refuse(int retryAfterSeconds, String reason, long waitMillis) {
        return new Admission(false, retryAfterSeconds, reason, waitMillis);
    }
}
