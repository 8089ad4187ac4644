package org.marigoldturn.entry;

/** Whether a request may have run, as stated in a response that the daemon itself made. */
public enum Outcome {
    /** The target certainly did not run the request. */
    NOT_RUN("not-run"),
    /** The target may have run the request, more than once if it is idempotent. */
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
