package org.marigoldturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.HttpMethod;
import java.util.List;

/** The {@code zone} commands. */
final class ZoneCommands implements CommandGroup {
    @Override
    public List<Command> commands() {
        ResourceCommands resource =
                new ResourceCommands("zone", "region=r1", "name", "region", "state");
        return resource.all(
                new Command(
                        "zone drain",
                        List.of("NAME"),
                        List.of(CommandOptions.FORCE, CommandOptions.DRY_RUN),
                        "takes a zone out of service within all budgets",
                        "marigoldturn zone drain z2 --dry-run",
                        ZoneCommands::drain),
                new Command(
                        "zone restore",
                        List.of("NAME"),
                        List.of(CommandOptions.DRY_RUN),
                        "restores a zone; its share of the work grows over 30 s",
                        "marigoldturn zone restore z2",
                        ZoneCommands::restore));
    }

    private static ExitCode drain(Invocation call) {
        boolean force = call.has(CommandOptions.FORCE);
        String path = path(call, "drain") + "?force=" + force;
        if (call.has(CommandOptions.DRY_RUN)) {
            return dryRun(call, path + "&dryRun=true");
        }
        if (!call.has(CommandOptions.YES)) {
            JsonNode plan = plan(call, path + "&dryRun=true");
            printPlan(call, plan);
            if (plan.path("refused").asBoolean()) {
                return ExitCode.REFUSED;
            }
            call.confirm("Take zone " + call.argument(0) + " out of service?");
        }
        return call.change(HttpMethod.POST, path);
    }

    private static ExitCode restore(Invocation call) {
        return call.has(CommandOptions.DRY_RUN)
                ? dryRun(call, path(call, "restore") + "?dryRun=true")
                : call.change(HttpMethod.POST, path(call, "restore"));
    }

    private static ExitCode dryRun(Invocation call, String path) {
        JsonNode plan = plan(call, path);
        if (call.has(CommandOptions.JSON)) {
            call.printDocument(plan);
        } else {
            printPlan(call, plan);
        }
        return plan.path("refused").asBoolean() ? ExitCode.REFUSED : ExitCode.OK;
    }

    private static JsonNode plan(Invocation call, String path) {
        return call.client().send(HttpMethod.POST, path, new byte[0]);
    }

    private static void printPlan(Invocation call, JsonNode plan) {
        Table.print(
                call.out(),
                plan.path("touched"),
                "service",
                "pool",
                "totalSlots",
                "absentSlots",
                "allowedSlots");
        plan.path("presentSlots")
                .properties()
                .forEach(
                        left ->
                                call.out()
                                        .println(
                                                "slots left in pool %s: %d"
                                                        .formatted(
                                                                left.getKey(),
                                                                left.getValue().asInt())));
        if (plan.path("refused").asBoolean()) {
            call.out().println("refused: budgets would be exceeded (--force overrides)");
        }
    }

    private static String path(Invocation call, String action) {
        return "/v1/zones/" + call.pathArgument(0) + "/" + action;
    }
}
