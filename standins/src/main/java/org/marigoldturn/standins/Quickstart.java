package org.marigoldturn.standins;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marigoldturn.admission.KeyAuthenticator;
import org.marigoldturn.standins.platform.PlatformFleet;

/**
 * Runs a small fleet of processes and checks that it serves requests, stops cleanly and completes a
 * job.
 */
final class Quickstart {
    private static final int DAEMONS = 3;
    private static final int HOSTS = 4;
    private static final int REQUESTS = 60;

    /** Exit code of a Java process that ends by SIGTERM after its shutdown hooks. */
    private static final int SIGTERM_EXIT_CODE = 143;

    private static final String MAIN = "org.marigoldturn.cli.Main";
    private static final String STAND_IN = StandInMain.class.getName();

    /** Last byte of the loopback address of the first daemon of the platform fleet. */
    private static final int FIRST_ADDRESS_BYTE = 41;

    private static final long TASK_MILLIS = 300;
    private static final String JOB_ID = "00000000000000a1";
    private static final String JOB =
            "{\"Spec\":\"text\",\"Steps\":[{\"Count\":3,\"Cpu\":500,\"MemMb\":100},"
                    + "{\"Count\":1,\"Cpu\":500,\"MemMb\":100,\"After\":[0]}]}";

    private final Path mDirectory;
    private final List<ChildProcess> mProcesses = new ArrayList<>();

    private Quickstart(Path directory) {
        mDirectory = directory;
    }

    static void run() throws Exception {
        Path directory = Files.createTempDirectory("marigoldturn-quickstart");
        Quickstart quickstart = new Quickstart(directory);
        try {
            quickstart.execute();
            System.out.println("quickstart: all checks passed");
        } finally {
            quickstart.mProcesses.forEach(ChildProcess::close);
        }
        System.exit(0);
    }

    private void execute() throws IOException, InterruptedException {
        ChildProcess store = start("store", STAND_IN, "store");
        KeyAuthenticator.IssuedKey key =
                new KeyAuthenticator()
                        .issue("club", "k1", new SecureRandom(), System.currentTimeMillis());
        Path settings = mDirectory.resolve("fleet.yaml");
        Files.writeString(settings, settings(key));
        List<ChildProcess> daemons = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) {
            Path config = mDirectory.resolve("entry-" + i + ".yaml");
            Files.writeString(
                    config,
                    """
                    name: entry-%d
                    zone: z%d
                    address: 127.0.0.1
                    storeEndpoint: http://127.0.0.1:%d
                    operatorToken: quickstart
                    peerToken: quickstart-peers
                    plaintext: true
                    drainDelayMillis: 500
                    """
                            .formatted(i, i, store.port("port")));
            daemons.add(start("entry-" + i, MAIN, "entry", "--config", config.toString()));
        }
        String operator = "http://127.0.0.1:" + daemons.get(0).port("operators");
        String response =
                ChildProcess.run(
                        log("cli"),
                        MAIN,
                        "--operator",
                        operator,
                        "--token",
                        "quickstart",
                        "settings",
                        "apply",
                        settings.toString());
        System.out.println("quickstart: settings applied: " + response);
        Map<String, Integer> requestsByHost = new TreeMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            ChildProcess daemon = daemons.get(i % DAEMONS);
            requestsByHost.merge(request(daemon, key.presentedKey(), "body-" + i), 1, Integer::sum);
        }
        System.out.println("quickstart: requests served by host: " + requestsByHost);
        for (ChildProcess daemon : daemons) {
            int exitCode = daemon.terminate();
            if (exitCode != SIGTERM_EXIT_CODE) {
                throw new IllegalStateException("a daemon exited with code " + exitCode);
            }
        }
        checkCleanStop();
        runJobOnPlatform();
    }

    /** Runs a job to its end through two daemons on the stand-in for the platform. */
    private void runJobOnPlatform() throws IOException, InterruptedException {
        try (PlatformFleet fleet = new PlatformFleet(mDirectory, FIRST_ADDRESS_BYTE)) {
            fleet.platform().addTarget("service", "host-1", TASK_MILLIS);
            fleet.platform().addTarget("service", "host-2", TASK_MILLIS);
            fleet.startDaemon();
            fleet.startDaemon();
            AggregatedHttpResponse accepted = fleet.submit(0, JOB_ID, JOB);
            if (accepted.status().code() != 200) {
                throw new IllegalStateException("job refused: " + accepted.contentUtf8());
            }
            PlatformFleet.await(
                    "the job is completed",
                    () -> fleet.queryState(1, JOB_ID).contentUtf8().contains("completed"));
            System.out.println(
                    "quickstart: job completed on the platform, tasks: "
                            + fleet.platform().starts());
        }
    }

    /** Checks in the log of each daemon that it handed its rights over and left the member set. */
    private void checkCleanStop() throws IOException {
        for (int i = 0; i < DAEMONS; i++) {
            String text = Files.readString(log("entry-" + i));
            boolean clean =
                    text.contains("rights handed over: true")
                            && text.contains("left the member set: true");
            if (!clean) {
                throw new IllegalStateException(
                        "entry-" + i + " did not stop cleanly; see " + log("entry-" + i));
            }
        }
        System.out.println("quickstart: all daemons stopped cleanly");
    }

    private static String request(ChildProcess daemon, String key, String body) {
        AggregatedHttpResponse response =
                WebClient.of("http://127.0.0.1:" + daemon.port("callers"))
                        .execute(
                                HttpRequest.of(
                                        RequestHeaders.of(
                                                HttpMethod.POST,
                                                "/services/entries/echo",
                                                HttpHeaderNames.of("marigoldturn-key"),
                                                key),
                                        HttpData.ofUtf8(body)))
                        .aggregate()
                        .join();
        if (response.status().code() != 200 || !response.contentUtf8().equals(body)) {
            throw new IllegalStateException(
                    "unexpected response " + response.status() + ": " + response.contentUtf8());
        }
        return response.headers().get("x-host");
    }

    private String settings(KeyAuthenticator.IssuedKey key) throws IOException {
        StringBuilder yaml = new StringBuilder();
        yaml.append("zones:\n");
        for (int i = 0; i < DAEMONS; i++) {
            yaml.append("  z%d: {region: r1}%n".formatted(i));
        }
        yaml.append("pools:\n  desk: {spare: false}\n");
        yaml.append("services:\n  entries: {pool: desk, open: false}\n");
        yaml.append(
                "teams:\n  club: {shareWeight: 1, runningLimit: 20, keys: [{id: k1,"
                        + " saltHex: %s, hashHex: %s, createdAtMillis: 0}]}%n"
                                .formatted(key.stored().saltHex(), key.stored().hashHex()));
        yaml.append("hosts:\n");
        for (int i = 0; i < HOSTS; i++) {
            ChildProcess host = start("host-" + i, STAND_IN, "target", "host-" + i, "8");
            yaml.append(
                    "  host-%d: {pool: desk, zone: z%d, address: 127.0.0.1, port: %d}%n"
                            .formatted(i, i % DAEMONS, host.port("port")));
        }
        return yaml.toString();
    }

    private ChildProcess start(String name, String mainClass, String... args) throws IOException {
        ChildProcess process = ChildProcess.start(log(name), mainClass, args);
        mProcesses.add(process);
        return process;
    }

    private Path log(String name) {
        return mDirectory.resolve(name + ".log");
    }
}
