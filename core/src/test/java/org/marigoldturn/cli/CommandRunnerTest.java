package org.marigoldturn.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import org.marigoldturn.fleet.FleetFixture;
import org.marigoldturn.membership.AcceptanceResult;
import org.marigoldturn.operator.DecisionRecord;
import org.marigoldturn.operator.TestOperator;
import org.marigoldturn.settings.SettingsException;
import org.marigoldturn.settings.ZoneState;

/** Runs commands against a real operator port and checks parsing, messages and exit codes. */
class CommandRunnerTest {
    private final TestOperator mOperator = new TestOperator(FleetFixture.settings(36, 20));
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private String mInput = "";

    @AfterProperty
    void stop() {
        mOperator.close();
    }

    /** Guards against commands whose help lacks the usage or an example. */
    @Example
    void everyCommandHasHelpWithAnExample() {
        for (CommandGroup group : Main.groups()) {
            for (Command command : group.commands()) {
                List<String> words = new ArrayList<>(List.of(command.words().split(" ")));
                words.add("--help");
                assertThat(run(words.toArray(String[]::new))).isZero();
                assertThat(out()).contains(command.usage()).contains("Example:");
            }
        }
        assertThat(run("zone", "--help")).isZero();
        assertThat(out()).contains("zone drain NAME").doesNotContain("pool list");
    }

    /** Guards against usage errors that are reported as failures of the daemon. */
    @Example
    void usageErrorsExitWithTwo() {
        assertThat(run("polo", "list")).isEqualTo(2);
        assertThat(err()).startsWith("marigoldturn: unknown command \"polo list\"");
        assertThat(run("zone", "drain")).isEqualTo(2);
        assertThat(err()).contains("usage: marigoldturn zone drain NAME");
        assertThat(run("pool", "list", "--force")).isEqualTo(2);
        assertThat(run("pool", "list", "--unknown")).isEqualTo(2);
        assertThat(run("pool", "set", "a", "spare")).isEqualTo(2);
        assertThat(run("entry")).isEqualTo(2);
        assertThat(runBare("pool", "list")).isEqualTo(2);
        assertThat(err()).contains("MARIGOLDTURN_OPERATOR");
    }

    /** Guards against exit codes that scripts cannot rely on. */
    @Example
    void exitCodesReportTheResultOfAChange() {
        assertThat(run("pool", "set", "quarry", "spare=true")).isZero();
        assertThat(out()).isEqualTo("accepted: version 2\n");
        assertThat(run("pool", "list")).isZero();
        assertThat(out()).contains("NAME").contains("quarry  true");
        mOperator.mAcceptance = new AcceptanceResult(false, List.of("d7"));
        assertThat(run("pool", "set", "quarry", "spare=false")).isEqualTo(4);
        assertThat(out()).contains("committed, not yet confirmed").contains("d7");
        assertThat(run("pool", "set", "quarry", "spare=true", "--if-version", "1")).isEqualTo(3);
        assertThat(err()).contains("committed change").contains("as version 3 first");
        assertThat(run("pool", "show", "none")).isEqualTo(8);
        assertThat(run("pool", "set", "Quarry")).isEqualTo(5);
        mOperator.mCommitter.failWith(new SettingsException("store is unavailable", null));
        assertThat(run("pool", "set", "a")).isEqualTo(9);
    }

    /** Guards against a zone drain without confirmation or beyond a budget. */
    @Example
    void zoneDrainAsksAndIsRefusedByBudgets() {
        assertThat(run("zone", "drain", "z0", "--yes")).isEqualTo(5);
        assertThat(err()).contains("service desk: 48 slots absent of 19 allowed");
        assertThat(run("zone", "drain", "z0", "--dry-run")).isEqualTo(5);
        assertThat(out()).contains("slots left in pool desk: 48").contains("refused");
        mInput = "n\n";
        assertThat(run("zone", "drain", "z0", "--force")).isEqualTo(2);
        assertThat(zoneState()).isEqualTo(ZoneState.IN_SERVICE);
        mInput = "y\n";
        assertThat(run("zone", "drain", "z0", "--force")).isZero();
        assertThat(zoneState()).isEqualTo(ZoneState.OUT_OF_SERVICE);
        assertThat(run("zone", "restore", "z0")).isZero();
        assertThat(zoneState()).isEqualTo(ZoneState.RETURNING);
    }

    /**
     * Guards against connection and token errors without the URI or without their own exit code.
     */
    @Example
    void unreachableDaemonAndBadTokenAreReported() throws IOException {
        String unused = "http://127.0.0.1:" + unusedPort();
        assertThat(runBare("status", "--operator", unused, "--token", "x")).isEqualTo(6);
        assertThat(err()).contains(unused);
        assertThat(runBare("status", "--operator", mOperator.uri(), "--token", "x")).isEqualTo(7);
        assertThat(err()).contains("operator token is missing or wrong");
        assertThat(run("status", "--operator", unused)).isEqualTo(6);
        assertThat(
                        run(
                                "pool",
                                "delete",
                                "gone",
                                "--yes",
                                "--operator",
                                unused,
                                "--operator",
                                mOperator.uri()))
                .isEqualTo(8);
        assertThat(err()).contains("an earlier attempt may have deleted it");
        String token = TestOperator.TOKEN;
        assertThat(
                        runBare(
                                "status",
                                "--operator",
                                unused,
                                "--operator",
                                mOperator.uri(),
                                "--token",
                                token))
                .isZero();
        assertThat(out()).contains("daemon d1: version 1, serving");
    }

    /** Guards against errors in a settings file that do not name the line. */
    @Example
    void settingsFilesAreCheckedAppliedAndCompared() throws IOException {
        Path file = Files.createTempFile("fleet", ".yaml");
        String name = file.toString();
        Files.writeString(file, "pools:\n  a: {}\n  a: {}\n");
        assertThat(run("settings", "check", name)).isEqualTo(5);
        assertThat(err()).startsWith("marigoldturn: " + name + ":3: ").hasLineCount(1);
        assertThat(run("settings", "show")).isZero();
        Files.writeString(file, out().replace("spare: true", "spare: false"));
        assertThat(run("settings", "diff", name)).isZero();
        assertThat(out()).contains("pools/club/spare  true    false");
        assertThat(run("settings", "apply", name)).isZero();
        assertThat(run("settings", "apply", name)).isZero();
        assertThat(out()).contains("version 2, nothing to change");
        assertThat(run("settings", "apply", "none.yaml")).isEqualTo(1);
        assertThat(run("settings", "policy", "costWeights.moves=3")).isZero();
        assertThat(mOperator.mCommitter.state().settings().policy().costWeights().moves())
                .isEqualTo(3.0);
        assertThat(run("settings", "history", "--limit", "5", "--json")).isZero();
    }

    /** Guards against a printed key that was not stored, and against a secret that was. */
    @Example
    void issuedKeyIsPrintedOnceAndStoredAsHash() {
        assertThat(run("team", "set", "club", "shareWeight=1", "runningLimit=4")).isZero();
        assertThat(run("key", "issue", "club", "k1")).isZero();
        assertThat(out()).contains("key: club.");
        String secret = out().lines().findFirst().orElseThrow().substring("key: club.".length());
        assertThat(run("settings", "show")).isZero();
        assertThat(out()).doesNotContain(secret).contains("hashHex");
        assertThat(run("key", "revoke", "club", "k1")).isZero();
        mOperator.mDecisions.add(new DecisionRecord("r1", 1, "select", "host h1"));
        assertThat(run("explain", "r1")).isZero();
        assertThat(out()).contains("select  host h1");
        assertThat(run("explain", "r2")).isEqualTo(8);
    }

    /** Guards against a daemon that fails to start without naming the file or the port. */
    @Example
    void startFailuresOfADaemonNameFileOrPort() throws IOException {
        Path config = Files.createTempFile("entry", ".yaml");
        Files.writeString(config, "name: entry-0\ncolour: red\n");
        assertThat(run("entry", "--config", config.toString())).isEqualTo(10);
        assertThat(err()).contains(config.toString()).hasLineCount(1);
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket used = new ServerSocket(0, 1, loopback)) {
            Files.writeString(
                    config,
                    """
                    name: entry-0
                    zone: z0
                    address: 127.0.0.1
                    operatorPort: %d
                    storeEndpoint: http://127.0.0.1:1
                    operatorToken: secret
                    peerToken: peer-secret
                    plaintext: true
                    """
                            .formatted(used.getLocalPort()));
            assertThat(run("entry", "--config", config.toString())).isEqualTo(10);
            assertThat(err()).contains("operatorPort " + used.getLocalPort()).contains("in use");
        }
    }

    private ZoneState zoneState() {
        return mOperator.mCommitter.state().settings().zones().get("z0").state();
    }

    private int run(String... arguments) {
        return run(
                Map.of(
                        "MARIGOLDTURN_OPERATOR",
                        mOperator.uri(),
                        "MARIGOLDTURN_TOKEN",
                        TestOperator.TOKEN),
                arguments);
    }

    private int runBare(String... arguments) {
        return run(Map.of(), arguments);
    }

    private int run(Map<String, String> environment, String... arguments) {
        mOut.reset();
        mErr.reset();
        CommandRunner.Terminal terminal =
                new CommandRunner.Terminal(
                        new BufferedReader(new StringReader(mInput)),
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8),
                        environment);
        return new CommandRunner(Main.groups(), terminal).run(arguments);
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }

    private static int unusedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
