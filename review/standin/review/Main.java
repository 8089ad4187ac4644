package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Runs one case: {@code Main CASE RECORD-FILE}. Exits with 1 if the rule was broken, else 0 or 2. */
public final class Main {
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Main() {}

    /** Plays a case and returns whether the rule held. */
    private interface Case {
        boolean holds(Site site) throws Exception;
    }

    public static void main(String[] args) {
        Map<String, Case> cases = Map.of(
                "pending", Main::pending,
                "dropped-route", Main::droppedRoute,
                "large-jobs", Main::largeJobs,
                "unlisted-worker", Main::unlistedWorker,
                "odd-entry", Main::oddEntry,
                "stale-upkeep", Main::staleUpkeep,
                "starved", Main::starved);
        int exit = 2;
        try (Site site = new Site(Path.of(args[1]))) {
            boolean holds = cases.get(args[0]).holds(site);
            site.record.add("result", holds ? "the rule held" : "the rule was broken");
            exit = holds ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    /** A configuration with the figures of the site: a queue of jobs at /q/, and one of jobs that last. */
    private static String config(int version, boolean withQueue) {
        String jobs = "{\"Name\":\"q1\",\"Host\":\"jobs.example\",\"Prefix\":\"/q/\",\"Service\":\"s1\","
                + "\"TargetDurationMs\":600,\"Priority\":0,\"MaxAttempts\":2,\"Stretch\":1.6,\"Public\":false}";
        String lasting = "{\"Name\":\"q2\",\"Host\":\"jobs.example\",\"Prefix\":\"/lasting/\",\"Service\":\"s1\","
                + "\"TargetDurationMs\":2500,\"Priority\":0,\"MaxAttempts\":4,\"Stretch\":2.2,\"Public\":true}";
        return "{\"Version\":" + version + ",\"Routes\":[" + lasting + (withQueue ? "," + jobs : "")
                + "],\"Services\":[{\"Name\":\"s1\",\"AdmissionControl\":false,\"Standby\":false}],"
                + "\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"secret\"],"
                + "\"Weight\":1,\"UpperBound\":{\"Cpu\":0,\"MemMb\":0,\"Gpu\":0}}]}";
    }

    private static String job(String spec, int count, long cpu, long estimateMillis, String more) {
        return "{\"Spec\":\"" + spec + "\",\"Steps\":[{\"Count\":" + count + ",\"Cpu\":" + cpu
                + ",\"MemMb\":100,\"EstimateMs\":" + estimateMillis + more + "}]}";
    }

    private static void begin(Site site, int workers, long cpu, int daemons) throws Exception {
        site.configure(config(1, true));
        for (int i = 0; i < workers; i++) {
            site.addWorker("s1", cpu);
        }
        for (int i = 0; i < daemons; i++) {
            site.addDaemon();
        }
        for (Site.Daemon daemon : site.daemons()) {
            site.awaitReady(daemon);
        }
        Site.await("owner", 10_000, () -> {
            try {
                return site.owner() != null;
            } catch (java.io.IOException e) {
                return false;
            }
        });
    }

    /** Submits a job, again after each refusal or missing answer, until it is accepted. */
    private static void submit(Site site, Site.Daemon daemon, String path, String body) throws Exception {
        Site.await("acceptance of " + path, 20_000, () -> {
            if (site.call(daemon, "POST", path, body).status() == 200) {
                return true;
            }
            sleep(1_000);
            return false;
        });
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static List<String> allRunning(Site site) {
        List<String> all = new ArrayList<>();
        site.workers.values().forEach(worker -> all.addAll(worker.running()));
        return all;
    }

    /** One of eight workers answers starts with 503 while the others are full of lasting tasks. */
    private static boolean pending(Site site) throws Exception {
        begin(site, 8, 4_000, 3);
        Site.Daemon daemon = site.daemons().get(0);
        submit(site, daemon, "/lasting/00000000000000a0",
                job("lasting", 7, 4_000, 0, ",\"AntiAffinity\":1,\"LongRunning\":true"));
        Site.await("7 runs", 10_000, () -> allRunning(site).size() == 7);
        Worker free = site.workers.values().stream().filter(w -> w.running().isEmpty()).findFirst().get();
        if (TROUBLE) {
            free.setUnhealthy(true);
            site.record.add("fault", "%s answers each start with 503", free.id);
        }
        for (int i = 0; i < 3; i++) {
            submit(site, daemon, "/q/00000000000000b" + i, job("ms=500", 1, 1_000, 500, ""));
        }
        // visible_ms + 2 s are over 5 s after the last acceptance.
        sleep(5_300);
        List<String> waiting = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String id = "00000000000000b" + i;
            if (!Worker.STARTED.contains(id + ".0.0.0")) {
                waiting.add(id);
            }
        }
        boolean holds = true;
        for (Site.Daemon each : site.daemons()) {
            Site.Answer answer = site.call(each, "GET", "/q/", "");
            long shown = Json.number(Json.object(answer.body()), "Pending");
            site.record.add("check", "%d jobs accepted over 5 s before have not begun; %s shows Pending %d",
                    waiting.size(), each.node, shown);
            holds &= answer.status() != 200 || 2 * shown >= waiting.size();
        }
        return holds;
    }

    /** A route is removed and added again; meanwhile a run of an accepted job fails once. */
    private static boolean droppedRoute(Site site) throws Exception {
        begin(site, 3, 4_000, 3);
        Site.Daemon daemon = site.daemons().get(0);
        String path = "/q/00000000000000c1";
        submit(site, daemon, path, job("ms=4000 fails-once", 1, 1_000, 4_000, ""));
        Site.await("run", 5_000, () -> allRunning(site).size() == 1);
        if (TROUBLE) {
            sleep(1_000);
            site.configure(config(2, false));
            sleep(4_000);
            site.configure(config(3, true));
        } else {
            sleep(5_000);
        }
        // ConfigApplyMs is 2 s.
        sleep(2_500);
        Site.Answer answer = site.call(daemon, "GET", path, "");
        sleep(8_000);
        Site.Answer later = site.call(daemon, "GET", path, "");
        boolean lost = answer.body().contains("failed") || later.body().contains("failed");
        site.record.add("check", "the task has failed once, MaxAttempts is 2; state %s, 8 s later %s",
                answer.body(), later.body());
        return !lost;
    }

    /**
     * Forty timed jobs come within 4 s, each with two weeks of runs, one a minute. The clients repeat calls
     * without an answer four times, each time at another daemon.
     */
    private static boolean largeJobs(Site site) throws Exception {
        begin(site, 3, 4_000, 3);
        int runs = TROUBLE ? 20_000 : 10;
        long dueMillis = System.currentTimeMillis() + 35_000;
        Map<String, Boolean> accepted = new java.util.concurrent.ConcurrentSkipListMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            int first = i;
            String id = "%016x".formatted(0xd00 + i);
            String body = job("ms=1000", 1, 100, 1_000, "");
            String timed = body.substring(0, body.length() - 1) + ",\"MaxRuns\":" + runs + ",\"StartAtMs\":"
                    + dueMillis + ",\"IntervalMs\":60000}";
            Thread client = new Thread(() -> {
                for (int attempt = 0; attempt < 5 && !accepted.containsKey(id); attempt++) {
                    Site.Daemon daemon = site.daemons().get((first + attempt) % 3);
                    if (site.call(daemon, "POST", "/q/" + id, timed).status() == 200) {
                        accepted.put(id, true);
                    }
                }
            });
            clients.add(client);
            client.start();
            sleep(90);
        }
        for (Thread client : clients) {
            client.join();
        }
        sleep(Math.max(0, dueMillis + 3_500 - System.currentTimeMillis()));
        long notStarted = accepted.keySet().stream()
                .filter(id -> !Worker.STARTED.contains(id + ".0.0.0")).count();
        site.record.add("check", "%d jobs accepted; 3.5 s after the first run was due it has not started in %d",
                accepted.size(), notStarted);
        // finish_s is 14 s.
        sleep(10_500);
        int unanswered = 0;
        for (String id : accepted.keySet()) {
            boolean known = false;
            for (int i = 0; i < 5 && !known; i++) {
                known = site.call(site.daemons().get(i % 3), "GET", "/q/" + id, "").status() == 200;
            }
            unanswered += known ? 0 : 1;
            if (unanswered >= 2) {
                break;
            }
        }
        for (Site.Daemon each : site.daemons()) {
            String log = site.log(each);
            site.record.add("check", "%s: alive %s, lines with OutOfMemoryError in its log: %d", each.node,
                    each.process.isAlive(), log.split("OutOfMemoryError", -1).length - 1);
        }
        site.record.add("check", "%d accepted jobs unknown or unanswered at five tries", unanswered);
        return unanswered == 0 && notStarted == 0;
    }

    /**
     * Three waves, one after the other. As each begins the host service is down for 2.2 s; the owner is restarted
     * as planned meanwhile.
     */
    private static boolean staleUpkeep(Site site) throws Exception {
        begin(site, 6, 4_000, 3);
        sleep(1_000);
        for (int n = 1; n <= 3; n++) {
            if (TROUBLE) {
                site.cloud.setDown(true);
            }
            String wave = "{\"Wave\":" + n + ",\"Machines\":[\"m-1\",\"m-2\",\"m-3\",\"m-4\",\"m-5\",\"m-6\"],"
                    + "\"DurationS\":26,\"UpperBound\":5}";
            site.store.put("op/wave/" + n, wave);
            site.record.add("operator", "op/wave/%d %s", n, wave);
            sleep(2_000);
            Site.Daemon owner = site.owner();
            site.sigterm(owner);
            sleep(150);
            if (TROUBLE) {
                site.cloud.setDown(false);
            }
            Site.await("end of " + owner.node, 15_000, () -> !owner.process.isAlive());
            site.start(owner);
            site.awaitReady(owner);
            sleep(12_000);
        }
        site.record.add("check", "UpperBound is 5; at most %d machines were down for a wave at the same time",
                site.cloud.mostDown());
        return site.cloud.mostDown() <= 5;
    }

    /**
     * For 3 s one job in twenty can never be done: its task fits into no worker, since each worker runs a lasting
     * task too. Ordinary jobs follow. Once the traffic has ended, the ordinary jobs are watched.
     */
    private static boolean starved(Site site) throws Exception {
        begin(site, 3, 32_000, 3);
        Site.Daemon daemon = site.daemons().get(0);
        submit(site, daemon, "/lasting/0000000000000100",
                job("lasting", 3, 8_000, 0, ",\"LongRunning\":true,\"AntiAffinity\":1"));
        Site.await("3 runs", 10_000, () -> allRunning(site).size() == 3);
        List<String> ordinary = new ArrayList<>();
        for (int i = 0; i < 90; i++) {
            String id = "%016x".formatted(0x200 + i);
            boolean poison = TROUBLE && i < 60 && i % 20 == 9;
            String body = poison ? job("ms=200", 1, 28_000, 200, "") : job("ms=400", 1, 1_000, 400, "");
            int status = site.call(site.daemons().get(i % 3), "POST", "/q/" + id, body).status();
            if (status == 200 && !poison) {
                ordinary.add(id);
            }
            sleep(i < 60 ? 40 : 200);
        }
        // finish_s is 14 s; then a job must not wait for 3 s on end.
        sleep(14_000);
        List<String> waiting = new ArrayList<>(ordinary);
        long end = System.nanoTime() + 3_200_000_000L;
        while (System.nanoTime() < end) {
            waiting.removeIf(id -> Worker.STARTED.contains(id + ".0.0.0"));
            Thread.sleep(20);
        }
        site.record.add("check", "%d ordinary jobs accepted; after finish_s %d of them had nothing running for 3 s",
                ordinary.size(), waiting.size());
        site.record.add("check", "in use: %s, each of 8 of the 32 cores of its worker", allRunning(site));
        for (String id : waiting.subList(0, Math.min(3, waiting.size()))) {
            site.call(daemon, "GET", "/q/" + id, "");
        }
        return waiting.isEmpty();
    }

    /** Another writer replaces a worker's entry once with one of a service that is not configured. */
    private static boolean oddEntry(Site site) throws Exception {
        begin(site, 6, 4_000, 3);
        submit(site, site.daemons().get(0), "/lasting/00000000000000f1",
                job("lasting", 6, 1_000, 0, ",\"LongRunning\":true,\"AntiAffinity\":2"));
        Site.await("6 runs", 10_000, () -> allRunning(site).size() == 6);
        sleep(2_000);
        Worker worker = site.workers.values().stream().filter(w -> !w.running().isEmpty()).findFirst().get();
        String entry = site.store.text("servers/" + worker.id);
        String odd = entry.replace("\"Service\":\"s1\"", "\"Service\":\"unnamed\"");
        if (TROUBLE) {
            site.store.put("servers/" + worker.id, odd);
            site.record.add("fault", "another writer puts servers/%s %s", worker.id, odd);
        }
        sleep(6_000);
        return Worker.TWICE.isEmpty();
    }

    /** A worker loses only its path to the store for 5.5 s; meanwhile the owner is restarted as planned. */
    private static boolean unlistedWorker(Site site) throws Exception {
        begin(site, 6, 4_000, 3);
        Site.Daemon daemon = site.daemons().get(0);
        submit(site, daemon, "/lasting/00000000000000e1",
                job("lasting", 6, 1_000, 0, ",\"LongRunning\":true,\"AntiAffinity\":2"));
        Site.await("6 runs", 10_000, () -> allRunning(site).size() == 6);
        sleep(2_000);
        Worker cut = site.workers.values().stream().filter(w -> !w.running().isEmpty()).findFirst().get();
        if (TROUBLE) {
            site.cutFromStore(cut, true);
        }
        sleep(4_600);
        Site.Daemon owner = site.owner();
        site.sigterm(owner);
        long end = System.nanoTime() + 6_000_000_000L;
        long cutEnd = System.nanoTime() + 900_000_000L;
        boolean restarted = false;
        while (System.nanoTime() < end) {
            if (TROUBLE && cut != null && System.nanoTime() > cutEnd) {
                site.cutFromStore(cut, false);
                cut = null;
            }
            if (!restarted && !owner.process.isAlive()) {
                restarted = true;
                site.start(owner);
            }
            Thread.sleep(20);
        }
        return Worker.TWICE.isEmpty();
    }
}
