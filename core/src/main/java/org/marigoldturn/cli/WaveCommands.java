package org.marigoldturn.cli;

import com.linecorp.armeria.common.HttpMethod;
import java.util.List;

/** The {@code wave} commands. */
final class WaveCommands implements CommandGroup {
    @Override
    public List<Command> commands() {
        return List.of(
                new Command(
                        "wave status",
                        List.of(),
                        List.of(),
                        "shows the maintenance wave",
                        "marigoldturn wave status",
                        call -> call.printDocument(call.client().get("/v1/wave"))),
                new Command(
                        "wave pause",
                        List.of(),
                        List.of(CommandOptions.REASON),
                        "takes no further hosts; those out of service finish and return",
                        "marigoldturn wave pause --reason \"match day\"",
                        WaveCommands::pause),
                new Command(
                        "wave resume",
                        List.of(),
                        List.of(),
                        "resumes a paused or stopped wave",
                        "marigoldturn wave resume",
                        call -> call.change(HttpMethod.POST, "/v1/wave/resume")));
    }

    private static ExitCode pause(Invocation call) {
        String reason = call.option(CommandOptions.REASON, "paused by an operator");
        return call.change(HttpMethod.POST, "/v1/wave/pause?reason=" + Invocation.encode(reason));
    }
}
