package org.marigoldturn.cli;

import java.util.List;

/** The {@code service} commands. */
final class ServiceCommands implements CommandGroup {
    @Override
    public List<Command> commands() {
        ResourceCommands resource =
                new ResourceCommands(
                        "service",
                        "pool=desk maxUnavailablePercent=20",
                        "name",
                        "pool",
                        "open",
                        "protocol",
                        "maxUnavailablePercent");
        return resource.all();
    }
}
