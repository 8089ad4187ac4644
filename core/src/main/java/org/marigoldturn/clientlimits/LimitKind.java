package org.marigoldturn.clientlimits;

import java.util.Locale;

/** The limits that a connection can reach, each with a counter of its own. */
public enum LimitKind {
    /** A connection was closed because the port had as many as it may. */
    CONNECTIONS(""),
    /** A head had more lines than permitted; response 431. */
    HEADER_LINES("431 Request Header Fields Too Large"),
    /** A head was not complete in time; response 408. */
    HEAD_TIME("408 Request Timeout"),
    /** A body was not complete in time. */
    BODY_TIME(""),
    /** A client read nothing of its responses in time. */
    READ_TIME(""),
    /** The connection that held the most was closed because the memory budget was used up. */
    MEMORY(""),
    /** Reading from a connection was paused until earlier requests have their responses. */
    PIPELINED(""),
    /** Reading from a connection was paused until the client reads its responses. */
    UNREAD("");

    private final String mResponse;

    LimitKind(String response) {
        mResponse = response;
    }

    /** Returns status and reason of the response; empty if there is none. */
    String response() {
        return mResponse;
    }

    /** Returns the name in metrics and log lines. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
