package org.marigoldturn.cli;

import java.util.List;

/** Group of related commands. */
@FunctionalInterface
interface CommandGroup {
    /** Returns the commands in the order of the help text. */
    List<Command> commands();
}
