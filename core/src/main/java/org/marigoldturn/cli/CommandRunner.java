package org.marigoldturn.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/** Runs the command that the arguments select; prints failures to standard error. */
final class CommandRunner {
    private final List<Command> mCommands;
    private final Terminal mTerminal;

    CommandRunner(List<CommandGroup> groups, Terminal terminal) {
        mCommands = groups.stream().flatMap(group -> group.commands().stream()).toList();
        mTerminal = terminal;
    }

    /** Standard streams and environment variables. */
    record Terminal(
            BufferedReader in, PrintStream out, PrintStream err, Map<String, String> environment) {
        /** Returns the next line, null at the end of the input. */
        String readLine() {
            try {
                return in.readLine();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Runs one command and returns its exit code. */
    int run(String... arguments) {
        ExitCode code;
        try {
            code = execute(new DefaultParser().parse(CommandOptions.all(), arguments));
        } catch (ParseException e) {
            code = fail(ExitCode.USAGE, e.getMessage());
        } catch (CommandException e) {
            code = fail(e.code(), e.getMessage());
        } catch (RuntimeException e) {
            String message = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            code = fail(ExitCode.FAILED, e.getClass().getSimpleName() + ": " + message);
        }
        mTerminal.out().flush();
        return code.number();
    }

    private ExitCode execute(CommandLine line) {
        List<String> words = line.getArgList();
        Optional<Command> found = find(words);
        if (line.hasOption(CommandOptions.HELP) || words.isEmpty()) {
            found.ifPresentOrElse(this::printHelp, () -> printOverview(words));
            return line.hasOption(CommandOptions.HELP) ? ExitCode.OK : ExitCode.USAGE;
        }
        Command command =
                found.orElseThrow(
                        () ->
                                new CommandException(
                                        ExitCode.USAGE,
                                        "unknown command \"%s\"; see marigoldturn --help"
                                                .formatted(String.join(" ", words))));
        int wordCount = command.words().split(" ").length;
        List<String> arguments = words.subList(wordCount, words.size());
        if (!command.accepts(arguments.size())) {
            throw new CommandException(ExitCode.USAGE, "usage: " + command.usage());
        }
        checkOptions(command, line);
        return command.action().run(new Invocation(line, arguments, mTerminal));
    }

    private Optional<Command> find(List<String> words) {
        String given = String.join(" ", words) + " ";
        return mCommands.stream().filter(c -> given.startsWith(c.words() + " ")).findFirst();
    }

    private static void checkOptions(Command command, CommandLine line) {
        for (Option option : line.getOptions()) {
            String name = option.getLongOpt();
            if (!CommandOptions.COMMON.contains(name) && !command.options().contains(name)) {
                throw new CommandException(
                        ExitCode.USAGE,
                        "command \"%s\" has no option --%s".formatted(command.words(), name));
            }
        }
    }

    private void printHelp(Command command) {
        Options options = new Options();
        for (Option option : CommandOptions.all().getOptions()) {
            String name = option.getLongOpt();
            if (CommandOptions.COMMON.contains(name) || command.options().contains(name)) {
                options.addOption(option);
            }
        }
        HelpFormatter formatter =
                HelpFormatter.builder()
                        .setHelpAppendable(new TextHelpAppendable(mTerminal.out()))
                        .setShowSince(false)
                        .get();
        try {
            String footer = "Example: " + command.example();
            formatter.printHelp(command.usage(), command.description(), options, footer, false);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void printOverview(List<String> words) {
        String prefix = words.isEmpty() ? "" : words.get(0) + " ";
        mTerminal.out().println("usage: marigoldturn COMMAND [ARGUMENTS] [OPTIONS]");
        for (Command command : mCommands) {
            if ((command.words() + " ").startsWith(prefix)) {
                mTerminal.out().printf("  %-48s %s%n", shortUsage(command), command.description());
            }
        }
        mTerminal.out().println("Example: marigoldturn zone drain --help");
    }

    private static String shortUsage(Command command) {
        return (command.words() + " " + String.join(" ", command.arguments())).strip();
    }

    private ExitCode fail(ExitCode code, String message) {
        Arrays.stream(message.split("\n"))
                .forEach(line -> mTerminal.err().println("marigoldturn: " + line));
        return code;
    }
}
