package org.marigoldturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.marigoldturn.daemon.ConfigException;
import org.marigoldturn.daemon.TlsFiles;

/** One invocation of a command: its arguments and options, and access to terminal and daemons. */
final class Invocation {
    private final CommandLine mLine;
    private final List<String> mArguments;
    private final CommandRunner.Terminal mTerminal;

    Invocation(CommandLine line, List<String> arguments, CommandRunner.Terminal terminal) {
        mLine = line;
        mArguments = List.copyOf(arguments);
        mTerminal = terminal;
    }

    String argument(int index) {
        return mArguments.get(index);
    }

    /** Returns an argument, percent-encoded for a URI path. */
    String pathArgument(int index) {
        return encode(argument(index));
    }

    List<String> argumentsFrom(int index) {
        return mArguments.subList(index, mArguments.size());
    }

    boolean has(String option) {
        return mLine.hasOption(option);
    }

    String option(String name, String defaultValue) {
        return mLine.getOptionValue(name, defaultValue);
    }

    String requiredOption(String name) {
        String value = mLine.getOptionValue(name);
        if (value == null) {
            throw new CommandException(ExitCode.USAGE, "option --" + name + " is missing");
        }
        return value;
    }

    PrintStream out() {
        return mTerminal.out();
    }

    static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** Returns a client for the daemons given by the options or the environment. */
    OperatorClient client() {
        return new OperatorClient(uris(), headers(), trustedCertificates());
    }

    /** Reads the file with the given path. */
    byte[] readFile(String file) {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (NoSuchFileException e) {
            throw new CommandException(ExitCode.FAILED, file + ": file does not exist");
        } catch (IOException e) {
            throw new CommandException(ExitCode.FAILED, file + ": " + e.getMessage());
        }
    }

    /** Prints rows as JSON or as a table of the given fields. */
    ExitCode printRows(JsonNode rows, String... fields) {
        if (has(CommandOptions.JSON)) {
            out().println(rows.toPrettyString());
        } else {
            Table.print(out(), rows, fields);
        }
        return ExitCode.OK;
    }

    /** Prints a document as indented JSON, with or without {@code --json}. */
    ExitCode printDocument(JsonNode document) {
        out().println(document.toPrettyString());
        return ExitCode.OK;
    }

    /** Sends a change without a body and prints the result. */
    ExitCode change(HttpMethod method, String path) {
        return printChange(client().send(method, path, new byte[0]));
    }

    /** Prints the result of a change and returns its exit code. */
    ExitCode printChange(JsonNode response) {
        if (has(CommandOptions.JSON)) {
            out().println(response.toPrettyString());
            return ExitCode.ofChange(response);
        }
        String result = response.path("result").asText();
        String unchanged = response.path("unchanged").asBoolean() ? ", nothing to change" : "";
        out().println(
                        "%s: version %d%s"
                                .formatted(result, response.path("version").asLong(), unchanged));
        if (!response.path("missingMembers").isEmpty()) {
            List<String> missing = new ArrayList<>();
            response.path("missingMembers").forEach(member -> missing.add(member.asText()));
            out().println("not acknowledged by: " + String.join(", ", missing));
        }
        return ExitCode.ofChange(response);
    }

    /** Asks the operator to confirm unless {@code --yes} is given. */
    void confirm(String question) {
        if (has(CommandOptions.YES)) {
            return;
        }
        mTerminal.err().print(question + " [y/N] ");
        mTerminal.err().flush();
        String reply = mTerminal.readLine();
        if (reply == null || !reply.strip().equalsIgnoreCase("y")) {
            throw new CommandException(
                    ExitCode.USAGE, "cancelled; nothing was changed (--yes skips the question)");
        }
    }

    private List<String> uris() {
        String[] given = mLine.getOptionValues(CommandOptions.OPERATOR);
        List<String> uris = new ArrayList<>();
        if (given != null) {
            uris.addAll(List.of(given));
        } else {
            String fromEnvironment = mTerminal.environment().get("MARIGOLDTURN_OPERATOR");
            if (fromEnvironment != null) {
                uris.addAll(List.of(fromEnvironment.split(",")));
            }
        }
        if (uris.isEmpty()) {
            throw new CommandException(
                    ExitCode.USAGE, "no daemon given: use --operator or MARIGOLDTURN_OPERATOR");
        }
        return uris;
    }

    private List<X509Certificate> trustedCertificates() {
        String file = option(CommandOptions.CA, mTerminal.environment().get("MARIGOLDTURN_CA"));
        try {
            return file == null
                    ? List.of()
                    : TlsFiles.certificates("--ca or MARIGOLDTURN_CA", Path.of(file));
        } catch (ConfigException e) {
            throw new CommandException(ExitCode.FAILED, e.getMessage());
        }
    }

    private Map<String, String> headers() {
        String token =
                option(CommandOptions.TOKEN, mTerminal.environment().get("MARIGOLDTURN_TOKEN"));
        if (token == null) {
            throw new CommandException(
                    ExitCode.USAGE, "no operator token given: use --token or MARIGOLDTURN_TOKEN");
        }
        Map<String, String> headers = new HashMap<>();
        headers.put("authorization", "Bearer " + token);
        headers.put(
                "marigoldturn-change-id",
                option(CommandOptions.CHANGE_ID, UUID.randomUUID().toString()));
        String user = mTerminal.environment().getOrDefault("USER", "operator");
        headers.put("marigoldturn-author", option(CommandOptions.AUTHOR, user));
        if (has(CommandOptions.IF_VERSION)) {
            headers.put("if-version", option(CommandOptions.IF_VERSION, ""));
        }
        return headers;
    }
}
