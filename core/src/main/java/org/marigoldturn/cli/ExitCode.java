package org.marigoldturn.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Exit codes of the command line. Scripts rely on them, so the numbers never change. */
enum ExitCode {
    OK(0),
    FAILED(1),
    /** The command is invalid, or the operator declined its question. */
    USAGE(2),
    CONFLICT(3),
    /** The change is committed, but not all daemons have acknowledged it. */
    NOT_CONFIRMED(4),
    REFUSED(5),
    UNREACHABLE(6),
    UNAUTHORIZED(7),
    NOT_FOUND(8),
    STORE_UNAVAILABLE(9),
    START_FAILED(10);

    private final int mNumber;

    ExitCode(int number) {
        mNumber = number;
    }

    int number() {
        return mNumber;
    }

    /** Returns the code for the HTTP status of a daemon's response. */
    static ExitCode ofStatus(int status) {
        return switch (status) {
            case 200 -> OK;
            case 202 -> NOT_CONFIRMED;
            case 400, 422 -> REFUSED;
            case 401 -> UNAUTHORIZED;
            case 404 -> NOT_FOUND;
            case 409 -> CONFLICT;
            case 503 -> STORE_UNAVAILABLE;
            default -> FAILED;
        };
    }

    /** Returns the code for the response to a change. */
    static ExitCode ofChange(JsonNode response) {
        return response.path("result").asText().equals("accepted") ? OK : NOT_CONFIRMED;
    }
}
