package org.marigoldturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The {@code settings} commands. */
final class SettingsCommands implements CommandGroup {
    private static final String PATH = "/v1/settings";
    private static final List<String> FILE = List.of("FILE");

    @Override
    public List<Command> commands() {
        return List.of(
                command("show", List.of(), "prints the settings as YAML", SettingsCommands::show),
                command(
                        "apply",
                        FILE,
                        "replaces all settings except the policy, states, and keys of teams that"
                                + " list none",
                        SettingsCommands::apply),
                command(
                        "check",
                        FILE,
                        "checks a file without applying it",
                        SettingsCommands::check),
                command("diff", FILE, "lists what apply would change", SettingsCommands::diff),
                command(
                        "policy",
                        List.of("FIELD=VALUE..."),
                        "shows or changes the settings of the planner",
                        SettingsCommands::policy),
                new Command(
                        "settings history",
                        List.of(),
                        List.of(CommandOptions.LIMIT),
                        "lists the newest versions",
                        "marigoldturn settings history --limit 5",
                        SettingsCommands::history));
    }

    private static Command command(
            String word, List<String> arguments, String description, Command.Action action) {
        String example = word.equals("policy") ? "costWeights.moves=3" : "fleet.yaml";
        return new Command(
                "settings " + word,
                arguments,
                List.of(),
                description,
                ("marigoldturn settings " + word + " " + (arguments.isEmpty() ? "" : example))
                        .strip(),
                action);
    }

    private static ExitCode show(Invocation call) {
        if (call.has(CommandOptions.JSON)) {
            return call.printDocument(call.client().get(PATH));
        }
        call.out().print(call.client().get(PATH + "/file").path("file").asText());
        return ExitCode.OK;
    }

    private static ExitCode apply(Invocation call) {
        return call.printChange(sendFile(call, HttpMethod.PUT, PATH));
    }

    private static ExitCode check(Invocation call) {
        sendFile(call, HttpMethod.POST, PATH + "/check");
        call.out().println(call.argument(0) + ": valid");
        return ExitCode.OK;
    }

    private static ExitCode diff(Invocation call) {
        JsonNode response = sendFile(call, HttpMethod.POST, PATH + "/diff");
        return call.printRows(response.path("differences"), "path", "before", "after");
    }

    private static ExitCode history(Invocation call) {
        String limit = call.option(CommandOptions.LIMIT, "20");
        if (!limit.matches("[0-9]{1,6}")) {
            throw new CommandException(
                    ExitCode.USAGE, "--limit must be a number, not \"" + limit + "\"");
        }
        return call.printRows(
                call.client().get(PATH + "/history?limit=" + limit),
                "version",
                "author",
                "changeId",
                "committedAtMillis");
    }

    private static ExitCode policy(Invocation call) {
        OperatorClient client = call.client();
        JsonNode state = client.get(PATH);
        ObjectNode policy = (ObjectNode) state.path("settings").path("policy");
        List<String> assignments = call.argumentsFrom(0);
        if (assignments.isEmpty()) {
            return call.printDocument(policy);
        }
        ResourceCommands.merge(policy, assignments);
        return call.printChange(
                client.sendIfVersion(
                        HttpMethod.PUT,
                        "/v1/policy",
                        policy.toString().getBytes(StandardCharsets.UTF_8),
                        state.path("version").asLong()));
    }

    /** Sends a settings file; errors in it are reported with file name and line. */
    private static JsonNode sendFile(Invocation call, HttpMethod method, String path) {
        String file = call.argument(0);
        OperatorClient.Response response = call.client().execute(method, path, call.readFile(file));
        if (response.status() == 200 || response.status() == 202) {
            return response.body();
        }
        throw new CommandException(
                ExitCode.ofStatus(response.status()), ProblemText.of(response.body(), file));
    }
}
