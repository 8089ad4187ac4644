package org.marigoldturn.cli;

import com.linecorp.armeria.common.HttpMethod;
import java.util.List;

/** The {@code daemon} commands. */
final class DaemonCommands implements CommandGroup {
    @Override
    public List<Command> commands() {
        return List.of(
                new Command(
                        "daemon list",
                        List.of(),
                        List.of(),
                        "lists the entry daemons",
                        "marigoldturn daemon list",
                        call ->
                                call.printRows(
                                        call.client().get("/v1/daemons"),
                                        "id",
                                        "zone",
                                        "address",
                                        "operatorPort")),
                new Command(
                        "daemon forget",
                        List.of("ID"),
                        List.of(),
                        "removes a daemon whose process has ended for certain",
                        "marigoldturn daemon forget entry-2-0a1b2c3d",
                        DaemonCommands::forget));
    }

    private static ExitCode forget(Invocation call) {
        call.confirm("Has the process of daemon " + call.argument(0) + " certainly ended?");
        return call.change(HttpMethod.DELETE, "/v1/daemons/" + call.pathArgument(0));
    }
}
