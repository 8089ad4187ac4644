package org.marigoldturn.cli;

import java.util.List;

/** The {@code team} commands. */
final class TeamCommands implements CommandGroup {
    @Override
    public List<Command> commands() {
        ResourceCommands resource =
                new ResourceCommands(
                        "team",
                        "shareWeight=2 runningLimit=40",
                        "name",
                        "shareWeight",
                        "runningLimit");
        return resource.all();
    }
}
