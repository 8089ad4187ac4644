package org.marigoldturn.standins.platform;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.marigoldturn.standins.ChildProcess;

/**
 * Runs a {@link StandInPlatform} and daemons of the module {@code platform} against it, and calls
 * the daemons as a client.
 *
 * <p>Each daemon is a process with its own loopback address.
 */
public final class PlatformFleet implements AutoCloseable {
    private static final String MAIN = "org.marigoldturn.platform.Main";
    private static final String CONFIG =
            """
            {"Version":%d,"Routes":[{"Name":"r1","Host":"jobs.example","Prefix":"/q/",
            "Service":"%s","TargetDurationMs":600,"Priority":0,"MaxAttempts":2,
            "Stretch":1.6,"Public":false},{"Name":"r2","Host":"jobs.example","Prefix":"/open/",
            "Service":"service","TargetDurationMs":600,"Priority":0,"MaxAttempts":2,
            "Stretch":1.6,"Public":true},{"Name":"r3","Host":"jobs.example","Prefix":"/advised/",
            "Service":"service","TargetDurationMs":600,"Priority":0,"MaxAttempts":2,
            "Stretch":1.6,"Advice":{"DecisionMs":20,"PeriodMs":1,"ValidMs":5000}}],
            "Services":[{"Name":"service"},{"Name":"other-service"}],
            "Tenants":[{"Name":"club","ApiKeys":["%s"],"Weight":1,"UpperBound":{"Cpu":16000}}]}
            """;

    private final StandInPlatform mPlatform = new StandInPlatform();
    private final Path mDirectory;
    private final int mFirstAddressByte;
    private final List<String> mJvmOptions;
    private final String mAdditionalSettings;
    private final List<ChildProcess> mDaemons = new ArrayList<>();
    private final WebClient mClient = WebClient.builder().responseTimeoutMillis(10_000).build();

    /**
     * Creates the platform with a configuration.
     *
     * @param directory where settings and logs are written
     * @param firstAddressByte last byte of the first daemon's loopback address; fleets that run at
     *     the same time need different ranges
     */
    public PlatformFleet(Path directory, int firstAddressByte) {
        this(directory, firstAddressByte, List.of(), "");
    }

    /**
     * Creates the platform with a configuration, and daemons with other limits.
     *
     * @param jvmOptions additional options of the daemons' JVM
     * @param settings additional lines of the daemons' settings
     */
    public PlatformFleet(
            Path directory, int firstAddressByte, List<String> jvmOptions, String settings) {
        mJvmOptions = List.copyOf(jvmOptions);
        mAdditionalSettings = settings;
        mDirectory = directory;
        mFirstAddressByte = firstAddressByte;
        configure(1, "secret");
    }

    /** Writes a configuration with one API key to the store. */
    public void configure(int version, String key) {
        configure(version, key, "service");
    }

    /** Writes a configuration that sends the queue under {@code /q/} to the given service. */
    public void configure(int version, String key, String service) {
        mPlatform.put("op/config", CONFIG.formatted(version, service, key));
    }

    /** Returns the platform. */
    public StandInPlatform platform() {
        return mPlatform;
    }

    /** Starts a daemon and waits until it is ready. */
    public void startDaemon() throws IOException, InterruptedException {
        launchDaemon();
        awaitReady(mDaemons.size() - 1);
    }

    /**
     * Starts a daemon that gets no response of the store until {@link #setStoreUnavailable} is
     * called for it, and returns its number.
     */
    public int startDaemonWithoutStore() throws IOException {
        int index = mDaemons.size();
        setStoreUnavailable(index, true);
        launchDaemon();
        return index;
    }

    /** Sets whether the store leaves all calls of one daemon without a response. */
    public void setStoreUnavailable(int daemon, boolean unavailable) {
        mPlatform.setStoreUnavailable(node(daemon), unavailable);
    }

    /** Starts a daemon whose process has ended, with the same settings. */
    public void restartDaemon(int daemon) throws IOException {
        mDaemons.set(daemon, launch(daemon));
    }

    /** Waits until a daemon is ready. */
    public void awaitReady(int daemon) throws InterruptedException {
        String ready = "http://" + ip(daemon) + ":8343/v1/ready";
        await("daemon " + daemon + " is ready", () -> respondsOk(ready));
    }

    private boolean respondsOk(String uri) {
        try {
            return mClient.get(uri).aggregate().join().status().code() == 200;
        } catch (CompletionException e) {
            // A daemon that has just started may be slow to accept its first connection.
            return false;
        }
    }

    private static String node(int index) {
        return "front-" + index;
    }

    private void launchDaemon() throws IOException {
        mDaemons.add(launch(mDaemons.size()));
    }

    private ChildProcess launch(int index) throws IOException {
        String ip = ip(index);
        Path settings = mDirectory.resolve("daemon-" + index + ".conf");
        Files.writeString(
                settings,
                """
                Node=%s
                Zone=z1
                Ip=%s
                Listen.Front=%s:8340
                Listen.Readiness=%s:8343
                PortRange=7000,7015
                platform.Address=%s
                Cloud.Address=%s
                Advice=%s
                Bounds.MaxHoldMs=%d
                Bounds.status_s=120
                Bounds.GraceS=6
                """
                                .formatted(
                                        node(index),
                                        ip,
                                        ip,
                                        ip,
                                        mPlatform.storeAddress(node(index)),
                                        mPlatform.hostsAddress(),
                                        mPlatform.policyService().address(),
                                        StandInLease.MAX_HOLD_MILLIS)
                        + mAdditionalSettings);
        return ChildProcess.start(
                mDirectory.resolve("daemon-" + index + ".log"),
                mJvmOptions,
                MAIN,
                "--settings",
                settings.toString());
    }

    /** Returns the number of the daemon that is the owner; -1 if there is none. */
    public int owner() {
        String owner = mPlatform.text("mt/owner/live");
        for (int i = 0; i < mDaemons.size(); i++) {
            if (owner.startsWith(node(i) + "/")) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the client of this fleet. */
    public WebClient client() {
        return mClient;
    }

    /** Returns a daemon's process. */
    public ChildProcess daemon(int index) {
        return mDaemons.get(index);
    }

    /** Submits a job and returns the response. */
    public AggregatedHttpResponse submit(int daemon, String id, String body) {
        return call(daemon, HttpMethod.POST, "/q/" + id, "secret", body);
    }

    /** Returns the response to a status query for a job. */
    public AggregatedHttpResponse queryState(int daemon, String id) {
        return call(daemon, HttpMethod.GET, "/q/" + id, "secret", "");
    }

    /** Calls a daemon as a client does. */
    public AggregatedHttpResponse call(
            int daemon, HttpMethod method, String path, String key, String body) {
        RequestHeaders headers =
                RequestHeaders.builder(method, "http://" + ip(daemon) + ":8340" + path)
                        .contentType(MediaType.JSON)
                        .set(HttpHeaderNames.HOST, "jobs.example")
                        .add("Credential", key)
                        .add("Deadline-Ms", "3000")
                        .build();
        return mClient.execute(HttpRequest.of(headers, HttpData.ofUtf8(body))).aggregate().join();
    }

    /** Waits until a condition holds, for at most 60 s; {@code what} describes it in the error. */
    public static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long endMillis = System.nanoTime() / 1_000_000 + 60_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() / 1_000_000 > endMillis) {
                throw new IllegalStateException("timed out after 60 s waiting for: " + what);
            }
            Thread.sleep(50);
        }
    }

    /** Returns the loopback address of a daemon. */
    public String ip(int index) {
        return "127.0.0." + (mFirstAddressByte + index);
    }

    @Override
    public void close() {
        mDaemons.forEach(ChildProcess::kill);
        mPlatform.close();
    }
}
