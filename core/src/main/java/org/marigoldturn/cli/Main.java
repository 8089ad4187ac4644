package org.marigoldturn.cli;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.Charset;
import java.util.List;

/** Entry point of the command {@code marigoldturn}. */
public final class Main {
    private Main() {}

    /** Runs one command and exits the process with its exit code. */
    public static void main(String[] args) {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, Charset.defaultCharset()));
        CommandRunner.Terminal terminal =
                new CommandRunner.Terminal(in, System.out, System.err, System.getenv());
        System.exit(new CommandRunner(groups(), terminal).run(args));
    }

    /** Returns all command groups in the order of the help text. */
    static List<CommandGroup> groups() {
        return List.of(
                new EntryCommands(),
                new PoolCommands(),
                new HostCommands(),
                new TeamCommands(),
                new KeyCommands(),
                new ZoneCommands(),
                new ServiceCommands(),
                new SettingsCommands(),
                new WaveCommands(),
                new DaemonCommands(),
                new StatusCommands());
    }
}
