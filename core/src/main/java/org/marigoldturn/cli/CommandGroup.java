package org.marigoldturn.cli;

import java.util.List;

/** Commands that share their first word. */
@FunctionalInterface
interface CommandGroup {
    /** Returns the commands in the order of the help text. */
    List<Command> commands();
}
