package org.marigoldturn.cli;

import java.util.List;

/** The {@code pool} commands. */
final class PoolCommands implements CommandGroup {
    @Override
    public List<Command> commands() {
        ResourceCommands resource = new ResourceCommands("pool", "spare=true", "name", "spare");
        return resource.all();
    }
}
