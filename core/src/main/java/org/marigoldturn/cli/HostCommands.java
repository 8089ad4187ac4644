package org.marigoldturn.cli;

import com.linecorp.armeria.common.HttpMethod;
import java.util.List;

/** The {@code host} commands. */
final class HostCommands implements CommandGroup {
    @Override
    public List<Command> commands() {
        ResourceCommands resource =
                new ResourceCommands(
                        "host",
                        "pool=desk zone=z0 address=127.0.0.1 port=8080",
                        "name",
                        "pool",
                        "zone",
                        "rack",
                        "slots",
                        "state");
        return resource.all(
                new Command(
                        "host drain",
                        List.of("NAME"),
                        List.of(CommandOptions.FORCE),
                        "drains a host for maintenance",
                        "marigoldturn host drain h1",
                        call -> call.change(HttpMethod.POST, action(call, "drain", ""))),
                new Command(
                        "host return",
                        List.of("NAME"),
                        List.of(),
                        "starts to return a host to service",
                        "marigoldturn host return h1",
                        call -> call.change(HttpMethod.POST, path(call) + "/return")),
                new Command(
                        "host move",
                        List.of("NAME", "POOL"),
                        List.of(CommandOptions.FORCE),
                        "drains a host and then moves it to another pool",
                        "marigoldturn host move h1 marks",
                        call ->
                                call.change(
                                        HttpMethod.POST,
                                        action(call, "move", "&pool=" + call.pathArgument(1)))));
    }

    private static String action(Invocation call, String action, String query) {
        return path(call) + "/" + action + "?force=" + call.has(CommandOptions.FORCE) + query;
    }

    private static String path(Invocation call) {
        return "/v1/hosts/" + call.pathArgument(0);
    }
}
