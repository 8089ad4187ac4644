package org.marigoldturn.standins;

/** What a {@link TargetServer} does instead of answering. */
public enum TargetFault {
    /** Answers completely. */
    NONE,
    /** Answers 500 at once. */
    FAIL,
    /** Runs each request for the additional time of the fault. */
    SLOW,
    /** Resets the stream after half of the body. */
    TRUNCATE,
    /** Ends the body before the announced length. */
    SHORT,
    /** Runs the request until the fault is changed, and never answers. */
    SILENT,
    /** Closes the connection without running the request. */
    RESET_BEFORE,
    /** Starts the request and closes the connection; the work goes on. */
    RESET_AFTER
}
