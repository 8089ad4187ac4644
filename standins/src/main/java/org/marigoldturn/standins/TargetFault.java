package org.marigoldturn.standins;

/** Faults that a {@link TargetServer} injects into the requests it receives. */
public enum TargetFault {
    /** Sends the complete response. */
    NONE,
    /** Responds with status 500 at once. */
    FAIL,
    /** Extends the run time of each request by the time set with the fault. */
    SLOW,
    /** Resets the stream after half of the response body. */
    TRUNCATE,
    /** Ends the response body at half of its announced length. */
    SHORT,
    /** Runs the request until the next fault is set, and never responds. */
    SILENT,
    /** Closes the connection without running the request. */
    RESET_BEFORE,
    /** Starts the request and closes the connection; the request runs to its end. */
    RESET_AFTER
}
