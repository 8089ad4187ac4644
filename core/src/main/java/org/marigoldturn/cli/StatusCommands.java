package org.marigoldturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.List;

/** The commands {@code status} and {@code explain}. */
final class StatusCommands implements CommandGroup {
    @Override
    public List<Command> commands() {
        return List.of(
                new Command(
                        "status",
                        List.of(),
                        List.of(),
                        "shows services, zones, teams and daemons",
                        "marigoldturn status",
                        StatusCommands::status),
                new Command(
                        "explain",
                        List.of("REQUEST-ID"),
                        List.of(),
                        "shows the decisions that a daemon made about a request",
                        "marigoldturn explain 0197a3c2-1f00-7000-8000-000000000001",
                        StatusCommands::explain));
    }

    private static ExitCode status(Invocation call) {
        JsonNode status = call.client().get("/v1/status");
        if (call.has(CommandOptions.JSON)) {
            return call.printDocument(status);
        }
        PrintStream out = call.out();
        out.println(
                "daemon %s: version %d, %s"
                        .formatted(
                                status.path("daemonId").asText(),
                                status.path("version").asLong(),
                                status.path("serving").asBoolean() ? "serving" : "not serving"));
        out.println();
        Table.print(
                out,
                status.path("services"),
                "service",
                "healthyHosts",
                "leavingHosts",
                "failedHosts",
                "absentSlots",
                "allowedSlots",
                "budgetMet");
        out.println();
        Table.print(out, status.path("zones"), "zone", "region", "state", "hosts");
        out.println();
        Table.print(
                out,
                status.path("teams"),
                "team",
                "running",
                "queued",
                "shareWeight",
                "runningLimit");
        out.println();
        Table.print(out, status.path("daemons"), "id", "zone", "version", "reachesStore");
        return ExitCode.OK;
    }

    private static ExitCode explain(Invocation call) {
        JsonNode response = call.client().getFromAny("/v1/explain/" + call.pathArgument(0));
        return call.printRows(response.path("decisions"), "atMillis", "step", "detail");
    }
}
