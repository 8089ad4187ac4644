package org.marigoldturn.cli;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.marigoldturn.daemon.EntryConfig;
import org.marigoldturn.daemon.EntryDaemon;

/** Entry point of the command {@code marigoldturn}. */
public final class Main {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_FAILURE = 1;

    private Main() {}

    /** Runs one command and exits with its code. */
    public static void main(String[] args) {
        Options options =
                new Options()
                        .addOption("c", "config", true, "configuration file")
                        .addOption("o", "operator", true, "URI of a daemon's operator port");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            String command = String.join(" ", line.getArgList());
            if (command.equals("entry")) {
                runDaemon(Path.of(line.getOptionValue("config")));
            } else if (command.startsWith("settings apply ")) {
                Path file = Path.of(line.getArgList().get(2));
                print(call(line, HttpMethod.PUT, "/v1/settings", Files.readAllBytes(file)));
            } else if (command.equals("status")) {
                print(call(line, HttpMethod.GET, "/v1/status", new byte[0]));
            } else {
                throw new ParseException("unknown command \"" + command + "\"");
            }
        } catch (ParseException e) {
            System.err.println("marigoldturn: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (IOException | RuntimeException e) {
            System.err.println("marigoldturn: " + e.getMessage());
            System.exit(EXIT_FAILURE);
        }
    }

    private static void runDaemon(Path configFile) {
        EntryDaemon daemon = new EntryDaemon(EntryConfig.read(configFile));
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::close, "shutdown"));
        daemon.start();
    }

    private static AggregatedHttpResponse call(
            CommandLine line, HttpMethod method, String path, byte[] body) {
        return WebClient.of(line.getOptionValue("operator"))
                .execute(
                        com.linecorp.armeria.common.HttpRequest.of(
                                com.linecorp.armeria.common.RequestHeaders.of(method, path),
                                HttpData.wrap(body)))
                .aggregate()
                .join();
    }

    private static void print(AggregatedHttpResponse response) {
        if (response.status().code() != 200) {
            throw new IllegalStateException(
                    "daemon answered " + response.status() + ": " + response.contentUtf8());
        }
        System.out.println(response.contentUtf8().strip());
        System.exit(0);
    }
}
