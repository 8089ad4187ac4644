package org.marigoldturn.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.marigoldturn.daemon.ConfigException;
import org.marigoldturn.daemon.EntryConfig;
import org.marigoldturn.daemon.EntryDaemon;

/** The command that runs an entry daemon. */
final class EntryCommands implements CommandGroup {
    @Override
    public List<Command> commands() {
        return List.of(
                new Command(
                        "entry",
                        List.of(),
                        List.of(CommandOptions.CONFIG),
                        "runs an entry daemon until it is terminated",
                        "marigoldturn entry --config entry.yaml",
                        EntryCommands::run));
    }

    private static ExitCode run(Invocation invocation) {
        EntryConfig config = read(Path.of(invocation.requiredOption(CommandOptions.CONFIG)));
        EntryDaemon daemon = create(config);
        try {
            daemon.start();
        } catch (RuntimeException e) {
            daemon.close();
            throw startFailure(config, e);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::close, "shutdown"));
        waitForTermination();
        return ExitCode.OK;
    }

    /**
     * Creates the daemon; errors of the HTTP library about TLS or addresses fail the start as well.
     */
    private static EntryDaemon create(EntryConfig config) {
        try {
            return new EntryDaemon(config);
        } catch (ConfigException e) {
            throw new CommandException(ExitCode.START_FAILED, e.getMessage());
        } catch (IllegalArgumentException | IllegalStateException e) {
            String setting = config.tls() == null ? "" : "tls: ";
            String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new CommandException(ExitCode.START_FAILED, setting + reason);
        }
    }

    private static EntryConfig read(Path file) {
        try {
            return EntryConfig.read(file);
        } catch (ConfigException e) {
            throw new CommandException(ExitCode.START_FAILED, e.getMessage());
        }
    }

    private static CommandException startFailure(EntryConfig config, RuntimeException failure) {
        String message =
                usedPort(config)
                        .map(port -> "%s of address %s is in use".formatted(port, config.address()))
                        .orElse("the daemon cannot start: " + failure.getMessage());
        return new CommandException(ExitCode.START_FAILED, message);
    }

    /**
     * Finds the configured port that is in use, since the error of the HTTP library does not tell.
     */
    private static Optional<String> usedPort(EntryConfig config) {
        List<String> names = List.of("callerPort", "operatorPort", "peerPort");
        List<Integer> ports =
                List.of(config.callerPort(), config.operatorPort(), config.peerPort());
        for (int i = 0; i < names.size(); i++) {
            if (ports.get(i) != 0 && !isFree(config.address(), ports.get(i))) {
                return Optional.of(names.get(i) + " " + ports.get(i));
            }
        }
        return Optional.empty();
    }

    private static boolean isFree(String address, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(address))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private static void waitForTermination() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
