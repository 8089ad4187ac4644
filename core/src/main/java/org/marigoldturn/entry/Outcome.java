package org.marigoldturn.entry;

/** What a caller may conclude from an answer that the system itself made. */
public enum Outcome {
    /** The request certainly did not run. */
    NOT_RUN("not-run"),
    /** The request may have run, once, or more often if it is idempotent. */
    UNKNOWN("unknown");

    private final String mHeaderValue;

    Outcome(String headerValue) {
        mHeaderValue = headerValue;
    }

    /** Returns the value of the header {@code Marigoldturn-Outcome}. */
    public String headerValue() {
        return mHeaderValue;
    }
}
