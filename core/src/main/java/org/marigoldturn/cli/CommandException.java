package org.marigoldturn.cli;

/** Failure of a command. The message is printed to standard error. */
final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode mCode;

    CommandException(ExitCode code, String message) {
        super(message);
        mCode = code;
    }

    ExitCode code() {
        return mCode;
    }
}
