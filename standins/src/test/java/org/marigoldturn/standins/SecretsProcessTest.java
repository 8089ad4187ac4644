package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.admission.KeyAuthenticator.IssuedKey;
import org.marigoldturn.standins.ChildProcess.Result;

/** Guards against secrets in the logs of daemons and in their responses. */
class SecretsProcessTest {
    private static final String MAIN = "org.marigoldturn.cli.Main";
    private static final String PEER_TOKEN = "the-peer-token-of-the-fleet";
    private static final String WRONG_PEER_TOKEN = "the-peer-token-of-a-stranger";
    private static final String WRONG_OPERATOR_TOKEN = "a-wrong-operator-token";

    private final ProcessFleet mFleet = newFleet();
    private final List<String> mResponses = new ArrayList<>();
    private final IssuedKey mClubKey = mFleet.issueKey("club");
    private final IssuedKey mUnknownKey = mFleet.issueKey("school");
    private final String mTruncatedKey =
            mClubKey.presentedKey().substring(0, mClubKey.presentedKey().length() - 1);

    private static ProcessFleet newFleet() {
        try {
            return new ProcessFleet("secrets");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @AfterTry
    void close() {
        mFleet.close();
    }

    private static String secret(IssuedKey key) {
        return key.presentedKey().substring(key.presentedKey().indexOf('.') + 1);
    }

    private AggregatedHttpResponse callOperatorPort(HttpMethod method, String path, String body) {
        AggregatedHttpResponse response = mFleet.callOperatorPort(0, method, path, body);
        mResponses.add(response.headers() + response.contentUtf8());
        return response;
    }

    private int call(String key) {
        RequestHeaders headers =
                RequestHeaders.builder(HttpMethod.POST, "/services/entries/run")
                        .add("marigoldturn-key", key)
                        .build();
        AggregatedHttpResponse response =
                WebClient.of("http://127.0.0.1:" + mFleet.daemon(0).port("callers"))
                        .execute(HttpRequest.of(headers, HttpData.ofUtf8("body")))
                        .aggregate()
                        .join();
        mResponses.add("call: " + response.headers() + response.contentUtf8());
        return response.status().code();
    }

    private Result command(String name, String token, String... arguments) throws Exception {
        List<String> all =
                new ArrayList<>(
                        List.of(
                                "--operator",
                                "http://127.0.0.1:" + mFleet.daemon(0).port("operators"),
                                "--token",
                                token));
        all.addAll(List.of(arguments));
        Path log = mFleet.directory().resolve(name + ".log");
        return ChildProcess.runAndCapture(log, MAIN, all.toArray(new String[0]));
    }

    private String logs() {
        StringBuilder text = new StringBuilder();
        try (Stream<Path> files = Files.list(mFleet.directory())) {
            for (Path log : files.filter(f -> f.toString().endsWith(".log")).toList()) {
                text.append(Files.readString(log));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    @Example
    void noLogAndNoResponseHasASecret() throws Exception {
        startFleet();
        presentWrongKeys();
        String revoked = issueAndRevoke();
        assertThat(command("token", WRONG_OPERATOR_TOKEN, "status").exitCode()).isEqualTo(7);
        sendSettingsWithSecrets();
        // A daemon with another peer token is refused by its peers.
        mFleet.startDaemon("peerToken: " + WRONG_PEER_TOKEN + "\n");
        FleetUnderTest.await(() -> logs().contains("wrong token"));
        String status = readEverything();
        mFleet.daemon(0).terminate();

        String logs = logs();
        assertThat(logs).contains("entry:").contains("operator:").contains("peer:");
        Map<String, String> secrets =
                Map.of(
                        "the valid key",
                        secret(mClubKey),
                        "an unknown key",
                        secret(mUnknownKey),
                        "a revoked key",
                        revoked.substring("club.".length()),
                        "the truncated key",
                        mTruncatedKey.substring("club.".length()),
                        "the operator token",
                        ProcessFleet.OPERATOR_TOKEN,
                        "a wrong operator token",
                        WRONG_OPERATOR_TOKEN,
                        "the peer token",
                        PEER_TOKEN,
                        "a wrong peer token",
                        WRONG_PEER_TOKEN);
        secrets.forEach(
                (what, secret) -> {
                    assertThat(logs.contains(secret)).as(what + " in a log").isFalse();
                    assertThat(mResponses.stream().filter(a -> a.contains(secret)))
                            .as("responses with " + what)
                            .isEmpty();
                });
        for (String stored : List.of(mClubKey.stored().saltHex(), mClubKey.stored().hashHex())) {
            assertThat(logs.contains(stored)).as("salt or hash in a log").isFalse();
            assertThat(status).doesNotContain(stored);
        }
    }

    private void startFleet() throws Exception {
        FleetYaml yaml = new FleetYaml().zone("z0").zone("z1").pool("desk");
        yaml.service("entries", "desk", "").team("club", 1, 8, mClubKey);
        yaml.host("h0", "desk", "z0", mFleet.startHost("h0", 8), 8);
        mFleet.startDaemon("peerToken: " + PEER_TOKEN + "\n");
        FleetUnderTest.await(
                () ->
                        callOperatorPort(HttpMethod.PUT, "/v1/settings", yaml.text())
                                        .status()
                                        .code()
                                == 200);
        FleetUnderTest.await(() -> call(mClubKey.presentedKey()) == 200);
    }

    /** Presents keys that are unknown, of another team, truncated, or without the team. */
    private void presentWrongKeys() {
        for (String key :
                List.of(
                        mUnknownKey.presentedKey(),
                        "club." + secret(mUnknownKey),
                        mTruncatedKey,
                        secret(mClubKey) + ".club",
                        secret(mClubKey))) {
            assertThat(call(key)).as("status of a wrong key").isEqualTo(401);
        }
    }

    /** Returns a key that was issued with the command line, used and revoked. */
    private String issueAndRevoke() throws Exception {
        String token = ProcessFleet.OPERATOR_TOKEN;
        Result issued = command("issue", token, "key", "issue", "club", "k2");
        assertThat(issued.exitCode()).as(issued.errors()).isZero();
        String key = issued.output().lines().findFirst().orElseThrow().substring("key: ".length());
        FleetUnderTest.await(() -> call(key) == 200);
        Result revoked = command("revoke", token, "key", "revoke", "club", "k2");
        assertThat(revoked.exitCode()).as(revoked.errors()).isZero();
        assertThat(call(key)).isEqualTo(401);
        return key;
    }

    /** Sends changes with a key in place of another value; each change must be rejected. */
    private void sendSettingsWithSecrets() {
        String key = mClubKey.presentedKey();
        for (String keys :
                List.of(
                        "[{id: " + key + ", saltHex: aa, hashHex: bb}]",
                        "[{id: k1, saltHex: aa, hashHex: " + key + "}]",
                        "[{id: k1, secret: " + key + "}]",
                        "[{id: k1, " + key + ": x, saltHex: aa, hashHex: bb}]",
                        "[{id: k1, createdAtMillis: " + key + "}]",
                        "[" + key + "]",
                        "[{id: k1, saltHex: '" + key)) {
            String rejected = "teams: {club: {shareWeight: 1, keys: " + keys + "}}\n";
            for (String path : List.of("/v1/settings/check", "/v1/settings/diff")) {
                callOperatorPort(HttpMethod.POST, path, rejected);
            }
            assertThat(callOperatorPort(HttpMethod.PUT, "/v1/settings", rejected).status().code())
                    .as(keys)
                    .isBetween(400, 499);
        }
        callOperatorPort(HttpMethod.PUT, "/v1/settings", "teams: {" + key + ": {shareWeight: 1}}");
        callOperatorPort(HttpMethod.PUT, "/v1/teams/" + key, "{\"shareWeight\": 1}");
        callOperatorPort(HttpMethod.PUT, "/v1/teams/club", "{\"shareWeight\": \"" + key + "\"}");
        callOperatorPort(HttpMethod.PUT, "/v1/teams/club/keys/" + key, "{\"saltHex\": \"aa\"}");
        callOperatorPort(HttpMethod.PUT, "/v1/teams/club/keys/k3", "{\"" + key + "\": 1}");
        callOperatorPort(HttpMethod.PUT, "/v1/teams/club/keys/k3", key);
        callOperatorPort(HttpMethod.DELETE, "/v1/teams/club/keys/" + key, "");
        callOperatorPort(HttpMethod.GET, "/v1/explain/" + key, "");
    }

    /** Reads everything that operators can read and returns the fleet status. */
    private String readEverything() {
        for (String path :
                List.of(
                        "/v1/settings",
                        "/v1/settings/file",
                        "/v1/settings/history",
                        "/v1/teams/club/keys",
                        "/v1/daemons",
                        "/v1/wave",
                        "/metrics")) {
            assertThat(callOperatorPort(HttpMethod.GET, path, "").status().code())
                    .as(path)
                    .isEqualTo(200);
        }
        String explain = "/v1/explain/" + mFleet.records().get(0).requestId();
        assertThat(callOperatorPort(HttpMethod.GET, explain, "").contentUtf8())
                .contains("selected host");
        String status = callOperatorPort(HttpMethod.GET, "/v1/status", "").contentUtf8();
        assertThat(status).contains("club");
        return status;
    }
}
