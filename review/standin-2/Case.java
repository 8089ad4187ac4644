import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;

/**
 * What all cases share: a store, workers, a host service and daemons on loopback addresses, the
 * clients' calls and the record of the run.
 *
 * <p>Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
final class Case {
    private static final long STARTED_NANOS = System.nanoTime();
    private static PrintWriter sRecord;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    final List<Daemon> daemons = new ArrayList<>();
    private final Path mFolder;
    private final Path mRepository;
    private final String mNet;

    /** The steps of one case. Returns whether the rule was broken. */
    interface Steps {
        boolean run(Case test) throws Exception;
    }

    private Case(Path repository, Path record) throws IOException {
        mRepository = repository;
        mFolder = Files.createTempDirectory("review");
        sRecord = new PrintWriter(Files.newBufferedWriter(record), true);
        ThreadLocalRandom random = ThreadLocalRandom.current();
        mNet = "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250) + ".";
        store = new Store(mNet + 1);
        Http cloud = new Http(mNet + 1, request -> machines(request));
        mCloud = cloud.address();
        Thread clock =
                new Thread(
                        () -> {
                            while (true) {
                                Worker.advanceAll();
                                sleep(5);
                            }
                        });
        clock.setDaemon(true);
        clock.start();
    }

    private final String mCloud;

    static void run(String[] args, Steps steps) {
        int status = 2;
        Case test = null;
        try {
            test = new Case(Path.of(args[0]), Path.of(args[1]));
            Case opened = test;
            Runtime.getRuntime().addShutdownHook(new Thread(() -> opened.daemons.forEach(Daemon::end)));
            log("disruption: " + (test.trouble ? "yes" : "no"));
            boolean broken = steps.run(test);
            status = broken ? 1 : 0;
            log(broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
        } catch (Exception | Error e) {
            if (sRecord != null) {
                log("RESULT: the case could not run: " + e);
            }
            e.printStackTrace();
        }
        if (test != null) {
            test.finish();
        }
        System.exit(status);
    }

    /** Ends the daemons; keeps their logs if the environment asks for them. */
    private void finish() {
        daemons.forEach(Daemon::end);
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs of the daemons: " + mFolder);
            return;
        }
        for (java.io.File file : mFolder.toFile().listFiles()) {
            file.delete();
        }
        mFolder.toFile().delete();
    }

    static long millis() {
        return (System.nanoTime() - STARTED_NANOS) / 1_000_000 + 1_000_000;
    }

    static synchronized void log(String line) {
        String text = String.format("%9.3f  %s", (millis() - 1_000_000) / 1_000.0, line);
        sRecord.println(text);
        System.out.println(text);
    }

    static void logStart(Worker.Run run) {
        log(
                "start    task=" + run.task + " run=" + run.number + " worker=" + run.worker
                        + (run.resumedFrom.isEmpty() ? "" : " checkpoint=" + run.resumedFrom));
    }

    static void logEnd(Worker.Run run) {
        log("end      task=" + run.task + " run=" + run.number + " worker=" + run.worker + " how=" + run.how);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    Worker worker(String id, String service, String rack, long cpu) throws IOException {
        return new Worker(store, mNet + 1, id, service, rack, cpu);
    }

    /** Starts workers of 32 cores, two in a rack, with the given numbers. */
    List<Worker> workers(int from, int to, String service) throws IOException {
        List<Worker> workers = new ArrayList<>();
        for (int i = from; i <= to; i++) {
            workers.add(worker("w" + i, service, "r" + (i + 1) / 2, 32_000));
        }
        return workers;
    }

    private Http.Response machines(Http.Request request) {
        if (!request.path().equals("/v1/machines")) {
            return new Http.Response(400, Json.of());
        }
        List<Object> rows = new ArrayList<>();
        Worker.all().forEach(worker -> rows.add(worker.machine()));
        return new Http.Response(200, Json.of("Machines", rows, "NextToken", ""));
    }

    /** Writes a configuration as the operator does; a route is "NAME SERVICE ATTEMPTS". */
    void configure(int version, String services, String... routes) {
        List<Object> rows = new ArrayList<>();
        for (String route : routes) {
            String[] parts = route.split(" ");
            rows.add(
                    Json.of(
                            "Name", parts[0],
                            "Host", "jobs.example",
                            "Prefix", "/" + parts[0] + "/",
                            "Service", parts[1],
                            "Priority", 0L,
                            "MaxAttempts", Long.parseLong(parts[2]),
                            "Stretch", 1.6,
                            "TargetDurationMs", 600L));
        }
        List<Object> names = new ArrayList<>();
        for (String service : services.split(" ")) {
            names.add(Json.of("Name", service, "AdmissionControl", false));
        }
        store.put(
                "op/config",
                Json.write(
                        Json.of(
                                "Version", (long) version,
                                "Routes", rows,
                                "Services", names,
                                "Limits", Json.of(),
                                "Tenants",
                                List.of(
                                        Json.of(
                                                "Name", "club",
                                                "ApiKeys", List.of("key-1"),
                                                "Weight", 1L,
                                                "UpperBound", Json.of("Cpu", 0L, "MemMb", 0L, "Gpu", 0L))))));
        log("configuration " + version + ": " + String.join(", ", routes));
    }

    /** Starts daemons and waits until all are ready. */
    void startDaemons(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Map<String, String> settings = new LinkedHashMap<>();
            settings.put("Zone", "z1");
            settings.put("Region", "r1");
            settings.put("Role", "front");
            settings.put("MachineClass", "front");
            settings.put("Serves", "front,control");
            settings.put("PortRange", "7000,7015");
            settings.put("Limits.CpuShare", "0.75");
            settings.put("Limits.Cores", "1");
            settings.put("Limits.MemoryMb", "430");
            settings.put("Limits.MaxFds", "4100");
            settings.put("HeartbeatMs", "1500");
            settings.put("Bounds.MaxHoldMs", "6000");
            settings.put("Bounds.status_s", "120");
            settings.put("Bounds.GraceS", "6");
            settings.put("Bounds.FarFactor", "3");
            settings.put("Bounds.QuotaWindowS", "5");
            settings.put("ControlMode", "request");
            settings.put("platform.Address", store.address());
            settings.put("platform.form", "kv");
            settings.put("platform.WritesPerS", "400");
            settings.put("platform.ReadsPerS", "2000");
            settings.put("platform.ValueBytes", "1048576");
            settings.put("platform.MinTtlMs", "1000");
            settings.put("Cloud.Address", mCloud);
            settings.put("Cloud.RatePerS", "64.0");
            settings.put("Cloud.DutyPerS", "64.0");
            Daemon daemon = new Daemon(mRepository, mFolder, "front-" + i, mNet + (10 + i), settings);
            daemon.start();
            daemons.add(daemon);
        }
        for (Daemon daemon : daemons) {
            await("daemon " + daemon.node() + " is ready", 30, daemon::isReady);
        }
        await("an owner", 30, () -> owner() != null);
        sleep(3_000);
    }

    /** Returns the daemon that owns the scheduling; null if there is none. */
    Daemon owner() {
        String live = store.text("mt/owner/live");
        for (Daemon daemon : daemons) {
            if (live.startsWith(daemon.node() + "/")) {
                return daemon;
            }
        }
        return null;
    }

    /** Returns a daemon that is not the owner. */
    Daemon other() {
        Daemon owner = owner();
        return daemons.stream().filter(daemon -> daemon != owner).findFirst().orElseThrow();
    }

    void await(String what, int seconds, BooleanSupplier condition) {
        long end = millis() + seconds * 1_000L;
        while (!condition.getAsBoolean()) {
            if (millis() > end) {
                throw new IllegalStateException("no " + what + " within " + seconds + " s");
            }
            sleep(20);
        }
    }

    Daemon.Response submit(Daemon daemon, String path, String body) {
        Daemon.Response response = daemon.call("POST", path, body);
        log("POST " + path + " at " + daemon.node() + ": " + response.status() + " " + response.body());
        return response;
    }

    /** Asks for a job's state; retries at another daemon, as clients do. */
    String state(String path) {
        String last = "";
        for (Daemon daemon : daemons) {
            Daemon.Response response = daemon.call("GET", path, "");
            last = response.status() + " " + response.body();
            if (response.status() == 200 || response.status() == 410) {
                break;
            }
        }
        log("GET " + path + ": " + last);
        return last;
    }

    /** Asks for a job's state at one daemon after the other until one tells it. */
    boolean isKnown(String path, long withinMillis) {
        long end = millis() + withinMillis;
        while (millis() < end) {
            if (state(path).startsWith("200")) {
                return true;
            }
            sleep(200);
        }
        return false;
    }
}
