package org.marigoldturn.entry;

import com.linecorp.armeria.common.HttpStatus;
import java.util.Objects;

/**
 * An error response that the daemon itself makes. Each filter converts its own errors to this type.
 * Immutable.
 *
 * @param status HTTP status
 * @param outcome whether the request may have run
 * @param reason stable identifier for programs
 * @param detail one sentence for people; must contain no secret
 * @param retryAfterSeconds time to wait before a retry, or 0 if a retry would not help
 */
public record EntryProblem(
        HttpStatus status, Outcome outcome, String reason, String detail, int retryAfterSeconds) {
    public EntryProblem {
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(detail, "detail");
    }

    /** Returns a problem of a request that did not run and must be changed before a retry. */
    public static EntryProblem notRun(HttpStatus status, String reason, String detail) {
        return new EntryProblem(status, Outcome.NOT_RUN, reason, detail, 0);
    }

    /** Returns a problem of a request that did not run and may be retried later. */
    public static EntryProblem retryLater(HttpStatus status, String reason, String detail) {
        return new EntryProblem(status, Outcome.NOT_RUN, reason, detail, 1);
    }

    /** Returns a problem of a request that may have run. */
    public static EntryProblem unknown(HttpStatus status, String reason, String detail) {
        return new EntryProblem(status, Outcome.UNKNOWN, reason, detail, 0);
    }
}
