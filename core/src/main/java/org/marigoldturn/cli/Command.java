package org.marigoldturn.cli;

import java.util.List;

/**
 * One command of the command line.
 *
 * @param words one or two words that select the command, such as {@code zone drain}
 * @param arguments names of the arguments; one that ends in {@code ...} may be repeated or omitted
 * @param options names of the command's own options
 * @param example complete example
 */
record Command(
        String words,
        List<String> arguments,
        List<String> options,
        String description,
        String example,
        Action action) {
    /** What the command does. */
    @FunctionalInterface
    interface Action {
        ExitCode run(Invocation invocation);
    }

    String usage() {
        return ("marigoldturn " + words + " " + String.join(" ", arguments)).strip();
    }

    /** Returns whether the command takes this number of arguments. */
    boolean accepts(int argumentCount) {
        boolean variadic =
                !arguments.isEmpty() && arguments.get(arguments.size() - 1).endsWith("...");
        return variadic ? argumentCount >= arguments.size() - 1 : argumentCount == arguments.size();
    }
}
