package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.TlsKeyPair;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.admission.KeyAuthenticator.IssuedKey;
import org.marigoldturn.standins.ChildProcess.Result;

/** Guards against ports that serve without TLS, and unclear errors about the files of TLS. */
class TlsProcessTest {
    private static final String MAIN = "org.marigoldturn.cli.Main";

    private final ProcessFleet mFleet;
    private final Path mDirectory;
    private final TestCertificate mCertificate;
    private final AtomicInteger mCommands = new AtomicInteger();

    TlsProcessTest() throws Exception {
        mFleet = new ProcessFleet("tls");
        mDirectory = mFleet.directory();
        mCertificate = TestCertificate.create(mDirectory, "entry");
    }

    @AfterTry
    void close() {
        mFleet.close();
    }

    /** Returns configuration lines that enable TLS; they override earlier lines with equal keys. */
    private static String tls(Path certificate, Path key) {
        return """
        plaintext: false
        tls:
          certificateFile: %s
          keyFile: %s
        """
                .formatted(certificate, key);
    }

    private Result command(String... arguments) throws IOException, InterruptedException {
        Path log = mDirectory.resolve("cli-" + mCommands.incrementAndGet() + ".log");
        return ChildProcess.runAndCapture(log, MAIN, arguments);
    }

    private Result operator(String... arguments) throws IOException, InterruptedException {
        String[] all = new String[arguments.length + 4];
        all[0] = "--operator";
        all[1] = "https://127.0.0.1:" + mFleet.daemon(0).port("operators");
        all[2] = "--token";
        all[3] = ProcessFleet.OPERATOR_TOKEN;
        System.arraycopy(arguments, 0, all, 4, arguments.length);
        return command(all);
    }

    private AggregatedHttpResponse call(
            ClientFactory clients, String scheme, String service, String key) {
        RequestHeaders headers =
                RequestHeaders.builder(HttpMethod.POST, "/services/" + service + "/run")
                        .add("marigoldturn-key", key)
                        .build();
        return WebClient.builder(scheme + "://127.0.0.1:" + mFleet.daemon(0).port("callers"))
                .factory(clients)
                .build()
                .execute(HttpRequest.of(headers, HttpData.ofUtf8("body")))
                .aggregate()
                .join();
    }

    /** Guards against a port that also serves plain HTTP, and a command line without TLS. */
    @Example
    void bothPortsAndTheTargetsUseTls() throws Exception {
        TestCertificate target = TestCertificate.create(mDirectory, "target");
        IssuedKey issued = mFleet.issueKey("club");
        String key = issued.presentedKey();
        Path settings = mDirectory.resolve("fleet.yaml");
        Files.writeString(settings, settings(target.keyPair(), issued));
        mFleet.startDaemon(
                tls(mCertificate.certificate(), mCertificate.key())
                        + "targetCaFile: "
                        + target.certificate()
                        + "\n");
        String ca = mCertificate.certificate().toString();

        Result applied = operator("--ca", ca, "settings", "apply", settings.toString());
        assertThat(applied.exitCode()).as(applied.errors()).isZero();
        Result untrusted = operator("status");
        assertThat(untrusted.exitCode()).isEqualTo(6);
        assertThat(untrusted.errors()).hasLineCount(1).contains("certification").contains("--ca");
        Result noFile = operator("--ca", ca + "-missing", "status");
        assertThat(noFile.exitCode()).isEqualTo(1);
        assertThat(noFile.errors()).hasLineCount(1).contains("--ca").contains("does not exist");

        try (ClientFactory trusting =
                ClientFactory.builder()
                        .tlsCustomizer(tls -> tls.trustManager(mCertificate.certificate().toFile()))
                        .build()) {
            for (String service : List.of("two", "one")) {
                FleetUnderTest.await(
                        () -> call(trusting, "https", service, key).status().code() == 200);
                assertThat(call(trusting, "https", service, key).contentUtf8()).isEqualTo("body");
            }
            for (String plain : List.of("h1c", "h2c")) {
                assertThatThrownBy(() -> call(trusting, plain, "two", key).status())
                        .as(plain)
                        .isNotNull();
                assertThatThrownBy(() -> plainStatus(plain)).as(plain).isNotNull();
            }
            assertThat(mFleet.host("h0").records().runs()).isNotEmpty();
        }
        assertThatThrownBy(() -> call(ClientFactory.ofDefault(), "https", "two", key))
                .hasStackTraceContaining("SSLHandshakeException")
                .hasStackTraceContaining("certification path");
    }

    private String settings(TlsKeyPair target, IssuedKey key) {
        int port = mFleet.startHost("h0", 8, Optional.of(target));
        return """
        zones: {z0: {region: r1}}
        pools: {desk: {}}
        services:
          two: {pool: desk, protocol: h2}
          one: {pool: desk, protocol: h1}
        teams:
          club: {shareWeight: 1, runningLimit: 8, keys: [{id: k1, saltHex: %s, hashHex: %s}]}
        hosts: {h0: {pool: desk, zone: z0, address: 127.0.0.1, port: %d}}
        """
                .formatted(key.stored().saltHex(), key.stored().hashHex(), port);
    }

    private int plainStatus(String scheme) {
        return WebClient.of(scheme + "://127.0.0.1:" + mFleet.daemon(0).port("operators"))
                .get("/health")
                .aggregate()
                .join()
                .status()
                .code();
    }

    /** Guards against a start without TLS that is not configured, and stack traces as errors. */
    @Example
    void wrongFilesFailTheStartWithOneLine() throws Exception {
        Path missing = mDirectory.resolve("missing.pem");
        Path text = Files.writeString(mDirectory.resolve("text.pem"), "no certificate");
        TestCertificate other = TestCertificate.create(mDirectory, "other");
        assertStartFails(tls(missing, mCertificate.key()), "tls.certificateFile", "does not exist");
        assertStartFails(tls(text, mCertificate.key()), "tls.certificateFile", "text.pem");
        assertStartFails(tls(mDirectory, mCertificate.key()), "tls.certificateFile", "read");
        assertStartFails(tls(mCertificate.certificate(), missing), "tls.keyFile", "missing.pem");
        assertStartFails(tls(mCertificate.certificate(), text), "tls.keyFile", "text.pem");
        assertStartFails(tls(mCertificate.certificate(), other.key()), "tls", "key");
        assertStartFails("plaintext: true\ntargetCaFile: " + text, "targetCaFile", "text.pem");
        assertStartFails("plaintext: false", "tls", "plaintext: true");
        assertStartFails("", "tls", "plaintext: true");
        assertStartFails(
                tls(mCertificate.certificate(), mCertificate.key()) + "plaintext: true\n",
                "tls",
                "plaintext: true");
    }

    private void assertStartFails(String lines, String setting, String reason)
            throws IOException, InterruptedException {
        Path config = mDirectory.resolve("entry-" + mCommands.get() + ".yaml");
        Files.writeString(
                config,
                """
                name: entry-0
                zone: z0
                address: 127.0.0.1
                storeEndpoint: http://127.0.0.1:%d
                operatorToken: the-operator-token
                peerToken: the-peer-token
                """
                                .formatted(mFleet.storePort())
                        + lines);
        Result result = command("entry", "--config", config.toString());
        assertThat(result.exitCode()).as(result.errors()).isEqualTo(10);
        assertThat(result.errors()).hasLineCount(1).contains(setting).contains(reason);
        assertThat(result.errors()).doesNotContain("the-operator-token", "the-peer-token");
    }
}
