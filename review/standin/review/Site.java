package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: store, workers and host service as stand-ins, daemons as processes. */
final class Site implements AutoCloseable {
    final Record record;
    final Store store = new Store();
    final Map<String, Worker> workers = new java.util.concurrent.ConcurrentSkipListMap<>();
    private final Set<String> mCutFromStore = new HashSet<>();
    private final Map<String, Long> mLastBeat = new LinkedHashMap<>();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    final Cloud cloud = new Cloud(this);
    private final Path mDirectory = Files.createTempDirectory("review");
    private final HttpClient mClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1)).build();
    private final String mIpPrefix;

    /** A daemon, with the addresses at which it is called. */
    static final class Daemon {
        final String ip;
        final String node;
        final int frontPort;
        final int readyPort;
        final Path settings;
        final Path log;
        Process process;

        Daemon(String ip, String node, int frontPort, int readyPort, Path settings, Path log) {
            this.ip = ip;
            this.node = node;
            this.frontPort = frontPort;
            this.readyPort = readyPort;
            this.settings = settings;
            this.log = log;
        }
    }

    /** An answer to a client; status 0 if there was none in time. */
    record Answer(int status, String body) {}

    Site(Path recordFile) throws Exception {
        record = new Record(recordFile);
        Random random = new Random();
        mIpPrefix = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
        mTimer.scheduleWithFixedDelay(this::tick, 0, 20, TimeUnit.MILLISECONDS);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Writes heartbeats, and removes entries after three heartbeat intervals of silence. */
    private synchronized void tick() {
        store.expireLeases();
        for (Worker worker : workers.values()) {
            worker.advance();
            long silent = now() - mLastBeat.getOrDefault(worker.id, Long.MIN_VALUE / 2);
            if (mCutFromStore.contains(worker.id)) {
                if (silent >= 3 * Worker.HEARTBEAT_MILLIS && !store.text("servers/" + worker.id).isEmpty()) {
                    store.remove("servers/" + worker.id);
                    record.add("store", "entry of %s expires", worker.id);
                }
            } else if (silent >= Worker.HEARTBEAT_MILLIS) {
                mLastBeat.put(worker.id, now());
                store.put("servers/" + worker.id, worker.entry());
            }
        }
    }

    synchronized Worker addWorker(String service, long cpu) throws Exception {
        int number = workers.size() + 1;
        Worker worker = new Worker("i-" + number, service, "m-" + number, cpu, record);
        workers.put(worker.id, worker);
        return worker;
    }

    /** Ends the worker of a machine; a new one joins after the upkeep. The old entry expires. */
    void beginUpkeep(String machine, long millis) throws Exception {
        // The newest worker of the machine has the longest id.
        Worker old = workers.values().stream().filter(w -> w.machine.equals(machine))
                .max(java.util.Comparator.comparingInt(w -> w.id.length())).get();
        mTimer.execute(() -> {
            synchronized (this) {
                mCutFromStore.add(old.id);
            }
            old.stop();
        });
        mTimer.schedule(() -> {
            try {
                synchronized (this) {
                    Worker next = new Worker(old.id + "b", "s1", machine, 4_000, record);
                    workers.put(next.id, next);
                }
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, millis, TimeUnit.MILLISECONDS);
    }

    synchronized void cutFromStore(Worker worker, boolean cut) {
        if (cut) {
            mCutFromStore.add(worker.id);
        } else {
            mCutFromStore.remove(worker.id);
        }
        record.add("fault", "%s is %s the store", worker.id, cut ? "cut off from" : "connected again to");
    }

    Daemon addDaemon() throws Exception {
        int number = mDaemons.size() + 1;
        String ip = mIpPrefix + number;
        String node = "front-z1-" + number;
        int front = freePort(ip);
        int ready = freePort(ip);
        int peers = freePort(ip);
        Path settings = mDirectory.resolve(node + ".conf");
        Files.writeString(settings, String.join("\n",
                "Node=" + node, "Role=front", "MachineClass=front", "Serves=front", "Ip=" + ip,
                "Zone=z1", "Region=r1", "Zones.z1=r1", "Listen.Front=" + ip + ":" + front,
                "Listen.Readiness=" + ip + ":" + ready,
                "PortRange=" + peers + "," + peers, "Bootstrap=true",
                "Limits.CpuShare=0.75", "Limits.Cores=1", "Limits.MemoryMb=430",
                "HeartbeatMs=1500", "Bounds.ContactMs=3000", "Bounds.AckTimeoutMs=4000",
                "Bounds.GraceS=6", "Bounds.ConfigApplyMs=2000", "Bounds.MaxHoldMs=6000",
                "Bounds.StopTimeoutMs=900", "Bounds.GangTimeoutMs=3000", "Bounds.cancel_ms=3000",
                "Bounds.visible_ms=3000", "Bounds.early_ms=250", "Bounds.finish_s=14",
                "Bounds.status_s=120", "Bounds.LeaseMs=3000", "ControlMode=request",
                "platform.Address=" + store.address(), "platform.form=kv",
                "platform.WritesPerS=400", "platform.ReadsPerS=2000",
                "platform.ValueBytes=1048576", "Cloud.Address=" + cloud.address(), ""));
        Daemon daemon = new Daemon(ip, node, front, ready, settings, mDirectory.resolve(node + ".log"));
        mDaemons.add(daemon);
        start(daemon);
        return daemon;
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return socket.getLocalPort();
        }
    }

    /** Starts the process with the command of the deploy file, split at spaces. */
    void start(Daemon daemon) throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no command 'run'");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("MARIGOLDTURN_BOOT", daemon.settings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(daemon.log.toFile()));
        daemon.process = builder.start();
        record.add("process", "%s starts, pid %d", daemon.node, daemon.process.pid());
    }

    void awaitReady(Daemon daemon) throws Exception {
        await("readiness of " + daemon.node, 30_000, () -> {
            try {
                HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + daemon.ip + ":" + daemon.readyPort + "/v1/ready"))
                        .timeout(Duration.ofSeconds(1)).build();
                return mClient.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
            } catch (IOException | InterruptedException e) {
                return false;
            }
        });
    }

    static void await(String what, long millis, BooleanSupplier condition) throws Exception {
        long end = now() + millis;
        while (!condition.getAsBoolean()) {
            if (now() > end) {
                throw new IllegalStateException("no " + what + " within " + millis + " ms");
            }
            Thread.sleep(20);
        }
    }

    void sigterm(Daemon daemon) throws Exception {
        record.add("fault", "SIGTERM to %s", daemon.node);
        daemon.process.destroy();
    }

    void sigkill(Daemon daemon) throws Exception {
        record.add("fault", "SIGKILL to %s", daemon.node);
        daemon.process.destroyForcibly();
    }

    /** Returns the daemon whose log names it as the last elected owner. */
    Daemon owner() throws IOException {
        Daemon owner = null;
        long best = 0;
        for (Daemon daemon : mDaemons) {
            Matcher elected = Pattern.compile("event=elected term=([0-9]+)").matcher(log(daemon));
            while (elected.find()) {
                if (Long.parseLong(elected.group(1)) > best) {
                    best = Long.parseLong(elected.group(1));
                    owner = daemon;
                }
            }
        }
        return owner;
    }

    String log(Daemon daemon) throws IOException {
        return Files.exists(daemon.log) ? Files.readString(daemon.log) : "";
    }

    List<Daemon> daemons() {
        return mDaemons;
    }

    void configure(String json) {
        store.put("op/config", json);
        record.add("operator", "op/config %s", json.replaceAll("\\s+", " "));
    }

    /** Sends a client's call, as a client with a deadline of 3 s, and records it. */
    Answer call(Daemon daemon, String method, String path, String body) {
        HttpRequest request = HttpRequest.newBuilder(
                URI.create("http://" + daemon.ip + ":" + daemon.frontPort + path))
                .header("Host", "jobs.example")
                .header("Content-Type", "application/json")
                .header("Credential", "secret")
                .header("Deadline-Ms", "3000")
                .timeout(Duration.ofSeconds(3))
                .method(method, body.isEmpty() ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body))
                .build();
        Answer answer;
        try {
            HttpResponse<String> response = mClient.send(request, HttpResponse.BodyHandlers.ofString());
            answer = new Answer(response.statusCode(), response.body());
        } catch (IOException | InterruptedException e) {
            answer = new Answer(0, e.toString());
        }
        record.add("client", "%s %s to %s: %d %s%s", method, path, daemon.node, answer.status(),
                answer.body(), body.isEmpty() ? "" : " for " + (body.length() > 300 ? body.substring(0, 300) : body));
        return answer;
    }

    private void endProcesses() {
        for (Daemon daemon : mDaemons) {
            daemon.process.destroyForcibly();
        }
        for (Daemon daemon : mDaemons) {
            try {
                daemon.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Ends all processes, and deletes the settings and logs unless KEEP names a folder for them. */
    @Override
    public void close() {
        endProcesses();
        String keep = System.getenv("KEEP");
        try {
            for (Daemon daemon : mDaemons) {
                if (keep != null) {
                    Files.createDirectories(Path.of(keep));
                    Files.copy(daemon.log, Path.of(keep).resolve(daemon.node + ".log"),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.deleteIfExists(daemon.log);
                Files.deleteIfExists(daemon.settings);
            }
            Files.deleteIfExists(mDirectory);
        } catch (IOException e) {
            e.printStackTrace();
        }
    }
}
