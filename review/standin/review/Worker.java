package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One worker, as PROTOCOL.md describes it. The number after {@code ms=} in a task's Spec is its
 * duration; without one it runs until it is stopped. With {@code fails-once} the first run of a task
 * fails by its own fault at the end of its duration.
 */
final class Worker {
    static final long HEARTBEAT_MILLIS = 1_500;
    private static final long MAX_HOLD_MILLIS = 6_000;

    /** One run. */
    private record Run(long number, String spec, long startedMillis) {
        long durationMillis() {
            int at = spec.indexOf("ms=");
            return at < 0 ? Long.MAX_VALUE / 2 : Long.parseLong(spec.substring(at + 3).split(" ")[0]);
        }
    }

    private static final java.util.Set<String> FAILED_ONCE =
            java.util.concurrent.ConcurrentHashMap.newKeySet();

    /** The tasks of which a run has started on any worker. */
    static final java.util.Set<String> STARTED = java.util.concurrent.ConcurrentHashMap.newKeySet();

    /** The workers that run a task now, and the tasks that have had two runs at the same time. */
    private static final Map<String, List<String>> ACTIVE = new HashMap<>();

    static final java.util.Set<String> TWICE = java.util.concurrent.ConcurrentHashMap.newKeySet();

    final String id;
    private final String mService;
    final String machine;
    private final long mCpu;
    private final Record mRecord;
    private final long mBornEpochMillis = System.currentTimeMillis();
    private final long mBornMillis = now();
    private final Map<String, Run> mRunning = new LinkedHashMap<>();
    private final Map<String, Long> mHighestEnded = new HashMap<>();
    private final List<List<Object>> mFinished = new ArrayList<>();
    private long mLastEnd;
    private long mLeaseEnd;
    private long mToken;
    private long mSeq;
    private boolean mUnhealthy;
    private final Http mHttp;

    Worker(String id, String service, String machine, long cpu, Record record) throws Exception {
        this.id = id;
        mService = service;
        this.machine = machine;
        mCpu = cpu;
        mRecord = record;
        mHttp = new Http(this::handle);
    }

    /** Ends the worker: everything that runs on it ends, and nothing listens at its address. */
    synchronized void stop() {
        mRunning.forEach((task, run) -> noteEnd(task, run.number()));
        mRunning.clear();
        mHttp.stop();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private long clock() {
        return now() - mBornMillis + 1_000;
    }

    synchronized String entry() {
        return Json.write(
                Json.of(
                        "Service", mService,
                        "Address", mHttp.address(),
                        "Zone", "z1",
                        "Version", "v1",
                        "Slots", 8,
                        "State", "ready",
                        "ColdMs", 0,
                        "Seq", ++mSeq,
                        "Machine", machine,
                        "born", mBornEpochMillis,
                        "Capacity", Json.of("Cpu", mCpu, "MemMb", 131_072, "Gpu", 0),
                        "Labels", List.of("a", "r1")));
    }

    /** An unhealthy worker answers each start with 503 and does nothing. */
    synchronized void setUnhealthy(boolean unhealthy) {
        mUnhealthy = unhealthy;
    }

    /** Returns the runs at work, as task/run. */
    synchronized List<String> running() {
        advance();
        List<String> running = new ArrayList<>();
        mRunning.forEach((task, run) -> running.add(task + "/" + run.number()));
        return running;
    }

    synchronized void advance() {
        boolean lapsed = clock() > mLeaseEnd;
        for (Map.Entry<String, Run> entry : Map.copyOf(mRunning).entrySet()) {
            Run run = entry.getValue();
            if (!lapsed && clock() - run.startedMillis() >= run.durationMillis()) {
                boolean fails = run.spec().contains("fails-once") && FAILED_ONCE.add(entry.getKey());
                end(entry.getKey(), run, fails ? "failed" : "done");
            } else if (lapsed) {
                end(entry.getKey(), run, "lapsed");
            }
        }
    }

    private void noteBegin(String task, long number) {
        synchronized (ACTIVE) {
            List<String> runs = ACTIVE.computeIfAbsent(task, t -> new ArrayList<>());
            runs.add("run " + number + " on " + id);
            if (runs.size() > 1) {
                TWICE.add(task);
                mRecord.add("check", "two runs of %s at the same time: %s", task, runs);
            }
        }
    }

    private void noteEnd(String task, long number) {
        synchronized (ACTIVE) {
            ACTIVE.getOrDefault(task, new ArrayList<>()).remove("run " + number + " on " + id);
        }
    }

    private void end(String task, Run run, String how) {
        mRunning.remove(task);
        noteEnd(task, run.number());
        mHighestEnded.merge(task, run.number(), Math::max);
        mFinished.add(List.of(++mLastEnd, task, run.number(), how, ""));
        mRecord.add("run", "%s run %d on %s ends: %s", task, run.number(), id, how);
        notifyAll();
    }

    private Http.Response handle(Http.Call call) throws InterruptedException {
        if (!call.expectedInstance().isEmpty() && !call.expectedInstance().equals(id)) {
            return new Http.Response(421, Json.of());
        }
        return switch (call.path()) {
            case "/v1/run-start" -> start(call.body());
            case "/v1/run-stop" -> stop(call.body());
            case "/v1/hold" -> hold(call.body());
            default -> new Http.Response(200, Json.of());
        };
    }

    private synchronized Http.Response start(Map<String, Object> body) {
        advance();
        String task = Json.text(body, "Task");
        long number = Json.number(body, "Run");
        Http.Response response = startOutcome(body, task, number);
        mRecord.add("run", "start of %s run %d on %s: %d %s", task, number, id,
                response.status(), ((Map<?, ?>) response.body()).get("Reason"));
        return response;
    }

    private Http.Response startOutcome(Map<String, Object> body, String task, long number) {
        if (mUnhealthy) {
            return respond(503, "");
        }
        if (isFenced(body)) {
            return respond(409, "fence");
        }
        Run current = mRunning.get(task);
        if (current != null && current.number() == number) {
            return respond(200, "");
        }
        extendLease(body);
        if (current != null || number <= mHighestEnded.getOrDefault(task, 0L)) {
            return respond(409, "old");
        }
        if (Json.number(body, "ExpiresMs") <= clock()) {
            return respond(409, "late");
        }
        STARTED.add(task);
        noteBegin(task, number);
        mRunning.put(task, new Run(number, Json.text(body, "Spec"), clock()));
        return respond(200, "");
    }

    private synchronized Http.Response stop(Map<String, Object> body) {
        advance();
        if (isFenced(body)) {
            return respond(409, "fence");
        }
        String task = Json.text(body, "Task");
        long number = Json.number(body, "Run");
        Run current = mRunning.get(task);
        if (current != null && current.number() <= number) {
            end(task, current, "stopped");
        }
        mHighestEnded.merge(task, number, Math::max);
        return respond(200, "");
    }

    private synchronized Http.Response hold(Map<String, Object> body) throws InterruptedException {
        advance();
        if (isFenced(body)) {
            return respond(409, "fence");
        }
        extendLease(body);
        long lastSeen = Json.number(body, "LastSeen");
        mFinished.removeIf(end -> (Long) end.get(0) <= lastSeen);
        long until = clock() + Math.min(2_000, Json.number(body, "WaitMs"));
        while (mFinished.isEmpty() && clock() < until) {
            wait(20);
            advance();
        }
        List<Object> running = new ArrayList<>();
        mRunning.forEach(
                (task, run) ->
                        running.add(List.of(task, run.number(), "", 100, 0)));
        Http.Response response = respond(200, "");
        @SuppressWarnings("unchecked")
        Map<String, Object> answer = (Map<String, Object>) response.body();
        answer.put("born", mBornEpochMillis);
        answer.put("Running", running);
        answer.put("Finished", new ArrayList<>(mFinished.subList(0, Math.min(500, mFinished.size()))));
        return response;
    }

    private void extendLease(Map<String, Object> body) {
        long latest = clock() + MAX_HOLD_MILLIS;
        mLeaseEnd = Math.max(mLeaseEnd, Math.min(latest, Json.number(body, "ExpiresMs")));
    }

    private boolean isFenced(Map<String, Object> body) {
        long token = Json.number(body, "FencingToken");
        boolean fenced = token < mToken;
        mToken = Math.max(mToken, token);
        return fenced;
    }

    private Http.Response respond(int status, String reason) {
        Map<String, Object> body = Json.of("ClockMs", clock());
        if (!reason.isEmpty()) {
            body.put("Reason", reason);
        }
        return new Http.Response(status, body);
    }
}
