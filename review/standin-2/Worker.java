import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for one worker, as PROTOCOL.md describes it.
 *
 * <p>The text of a task says what it does: {@code work=MS} ends {@code done} after that work,
 * {@code lasting} runs until it is stopped. Members of a gang are told by {@code gang=N} in the
 * text: they work from the moment when N tasks of the same step and run are present, end {@code
 * done} together, and end {@code broken} when another member has ended. Thread safe; all workers
 * of a case share one lock.
 */
final class Worker {
    private static final Object LOCK = new Object();
    private static final List<Worker> ALL = new ArrayList<>();
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long MAX_HOLD_MILLIS = 6_000;
    private static final long GANG_TIMEOUT_MILLIS = 3_000;
    private static final long CHECKPOINT_MILLIS = 1_000;

    /** One run. Times are those of {@link Case#millis}. */
    static final class Run {
        final String task;
        final long number;
        final String worker;
        final String spec;
        final String resumedFrom;
        final long startMillis;
        long workFromMillis;
        long endMillis = Long.MAX_VALUE;
        String how = "";
        String saved;
        int checkpoints;

        Run(String task, long number, String worker, String spec, String resumedFrom) {
            this.task = task;
            this.number = number;
            this.worker = worker;
            this.spec = spec;
            this.resumedFrom = resumedFrom;
            this.saved = resumedFrom;
            startMillis = Case.millis();
        }

        long option(String name) {
            for (String part : spec.split(" ")) {
                if (part.startsWith(name + "=")) {
                    return Long.parseLong(part.substring(name.length() + 1));
                }
            }
            return 0;
        }

        boolean has(String word) {
            return List.of(spec.split(" ")).contains(word);
        }

        String step() {
            return task.substring(0, task.lastIndexOf('.'));
        }

        boolean ended() {
            return !how.isEmpty();
        }
    }

    private final Store mStore;
    private final Http mHttp;
    private final String mId;
    private final String mMachine;
    private final String mService;
    private final String mRack;
    private final long mCpu;
    private final long mBornEpochMillis = System.currentTimeMillis();
    private final long mBornMillis = Case.millis() - 600_000;
    private final TreeMap<String, Run> mRunning = new TreeMap<>();
    private final Map<String, Long> mHighestEnded = new HashMap<>();
    private final TreeMap<Long, Run> mFinished = new TreeMap<>();
    private final List<Run> mAllRuns = new ArrayList<>();
    private long mLastEnd;
    private long mToken;
    private long mLeaseEndMillis;
    private long mSeq;
    private boolean mFailsAll;
    private boolean mCut;
    private boolean mDead;

    Worker(Store store, String ip, String id, String service, String rack, long cpu) throws IOException {
        mStore = store;
        mId = id;
        mMachine = "m-" + id;
        mService = service;
        mRack = rack;
        mCpu = cpu;
        mHttp = new Http(ip, this::handle);
        synchronized (LOCK) {
            ALL.add(this);
        }
        Thread heartbeat =
                new Thread(
                        () -> {
                            while (!mDead) {
                                writeEntry();
                                Case.sleep(HEARTBEAT_MILLIS);
                            }
                        });
        heartbeat.setDaemon(true);
        heartbeat.start();
    }

    /** Ends runs whose time has come; to be called often. */
    static void advanceAll() {
        synchronized (LOCK) {
            long now = Case.millis();
            for (Worker worker : List.copyOf(ALL)) {
                worker.advance(now);
            }
        }
    }

    /** Returns all runs of all workers in the order of their starts. */
    static List<Run> allRuns() {
        synchronized (LOCK) {
            List<Run> runs = new ArrayList<>();
            ALL.forEach(worker -> runs.addAll(worker.mAllRuns));
            runs.sort((a, b) -> Long.compare(a.startMillis, b.startMillis));
            return runs;
        }
    }

    static List<Worker> all() {
        synchronized (LOCK) {
            return List.copyOf(ALL);
        }
    }

    String id() {
        return mId;
    }

    Map<String, Object> machine() {
        return Json.of(
                "Machine", mMachine,
                "Pool", mService,
                "State", mDead ? "down" : "up",
                "Zone", "z1",
                "Labels", List.of("a", mRack),
                "Capacity", capacity(),
                "Id", mDead ? "" : mId);
    }

    List<Run> running() {
        synchronized (LOCK) {
            return List.copyOf(mRunning.values());
        }
    }

    /** Cuts the worker off from all machines, or ends that. It reaches the store all the while. */
    void setCut(boolean cut) {
        mCut = cut;
        mHttp.setCut(cut);
        Case.log("worker " + mId + (cut ? " is cut off from the machines" : " is reached again"));
    }

    /** Lets the worker fail all that it starts, or ends that. */
    void setFailsAll(boolean fails) {
        synchronized (LOCK) {
            mFailsAll = fails;
        }
        Case.log("worker " + mId + (fails ? " fails all that it starts" : " is sound again"));
    }

    /** The machine loses power for good: runs end without a word, calls get no response. */
    void crash() {
        synchronized (LOCK) {
            mHttp.setCut(true);
            mDead = true;
            for (Run run : List.copyOf(mRunning.values())) {
                mRunning.remove(run.task);
                run.how = "lost with its worker";
                run.endMillis = Case.millis();
                Case.logEnd(run);
            }
        }
        Case.log("worker " + mId + " has lost power");
    }

    /** Several machines, such as those of a rack, lose power for good at the same moment. */
    static void crashTogether(List<Worker> workers) {
        synchronized (LOCK) {
            workers.forEach(Worker::crash);
        }
    }

    private Map<String, Object> capacity() {
        return Json.of("Cpu", mCpu, "MemMb", 131_072L, "Gpu", 0L);
    }

    private void writeEntry() {
        mStore.put(
                "servers/" + mId,
                Json.write(
                        Json.of(
                                "Service", mService,
                                "Address", mHttp.address(),
                                "Zone", "z1",
                                "Version", 1L,
                                "Slots", 8L,
                                "State", "ready",
                                "ColdMs", 0L,
                                "Seq", ++mSeq,
                                "born", mBornEpochMillis,
                                "Machine", mMachine,
                                "Labels", List.of("a", mRack),
                                "Capacity", capacity())));
    }

    private Http.Response handle(Http.Request request) throws InterruptedException {
        if (!mId.equals(request.headers().getOrDefault("expect-instance", mId))) {
            return new Http.Response(421, Json.of());
        }
        synchronized (LOCK) {
            advance(Case.millis());
            long token = Json.number(request.body(), "FencingToken");
            if (token < mToken) {
                return response(409, "Reason", "fence");
            }
            mToken = token;
            return switch (request.path()) {
                case "/v1/run-start" -> start(request.body());
                case "/v1/run-stop" -> stop(request.body());
                case "/v1/hold" -> hold(request.body());
                default -> response(404);
            };
        }
    }

    private Http.Response start(Map<String, Object> body) {
        String task = Json.text(body, "Task");
        long number = Json.number(body, "Run");
        long expires = Json.number(body, "ExpiresMs");
        Run current = mRunning.get(task);
        if (current != null && current.number == number) {
            return response(200);
        }
        if (current != null || number <= mHighestEnded.getOrDefault(task, 0L)) {
            extend(expires);
            return response(409, "Reason", "old");
        }
        if (expires <= clock()) {
            return response(409, "Reason", "late");
        }
        extend(expires);
        Run run =
                new Run(task, number, mId, Json.text(body, "Spec"), Json.text(body, "LastCheckpoint"));
        mRunning.put(task, run);
        mAllRuns.add(run);
        Case.logStart(run);
        if (mFailsAll) {
            end(run, "failed");
        } else {
            beginWork(run);
        }
        return response(200);
    }

    private static void beginWork(Run run) {
        List<Run> members = members(run);
        if (members.size() >= run.option("gang")) {
            members.forEach(member -> member.workFromMillis = Case.millis());
        }
    }

    /** Returns the runs of the same gang that are present. */
    private static List<Run> members(Run run) {
        if (run.option("gang") == 0) {
            return List.of(run);
        }
        List<Run> members = new ArrayList<>();
        for (Worker worker : ALL) {
            for (Run other : worker.mRunning.values()) {
                if (other.step().equals(run.step()) && other.number == run.number) {
                    members.add(other);
                }
            }
        }
        return members;
    }

    private static void endMember(Run run, String how) {
        for (Worker worker : ALL) {
            if (worker.mId.equals(run.worker) && worker.mRunning.get(run.task) == run) {
                worker.end(run, how);
            }
        }
    }

    private Http.Response stop(Map<String, Object> body) {
        String task = Json.text(body, "Task");
        long number = Json.number(body, "Run");
        Run current = mRunning.get(task);
        if (current != null && current.number <= number) {
            end(current, "stopped");
        }
        mHighestEnded.merge(task, number, Math::max);
        return response(200);
    }

    private Http.Response hold(Map<String, Object> body) throws InterruptedException {
        if (body.containsKey("ExpiresMs")) {
            extend(Json.number(body, "ExpiresMs"));
        }
        long seen = Json.number(body, "LastSeen");
        mFinished.headMap(seen, true).clear();
        long until = Case.millis() + Math.min(2_000, Json.number(body, "WaitMs"));
        while (mFinished.isEmpty() && Case.millis() < until && !mCut) {
            LOCK.wait(20);
            advance(Case.millis());
        }
        List<Object> running = new ArrayList<>();
        for (Run run : mRunning.values()) {
            running.add(List.of(run.task, run.number, run.saved, run.workFromMillis > 0 ? 100L : 0L, 0L));
        }
        List<Object> finished = new ArrayList<>();
        for (Map.Entry<Long, Run> entry : mFinished.entrySet()) {
            if (finished.size() < 500) {
                Run run = entry.getValue();
                finished.add(List.of(entry.getKey(), run.task, run.number, run.how, run.saved));
            }
        }
        return response(200, "Running", running, "Finished", finished);
    }

    /** Extends the lease to a time of the worker's clock. */
    private void extend(long expires) {
        long end = Math.min(expires + mBornMillis, Case.millis() + MAX_HOLD_MILLIS);
        mLeaseEndMillis = Math.max(mLeaseEndMillis, end);
    }

    private void advance(long now) {
        if (mDead) {
            return;
        }
        for (Run run : List.copyOf(mRunning.values())) {
            if (run.ended()) {
                continue;
            }
            boolean working = run.workFromMillis > 0;
            if (working && run.has("saves")) {
                int made = (int) ((now - run.workFromMillis) / CHECKPOINT_MILLIS);
                if (made > run.checkpoints) {
                    run.checkpoints = made;
                    // A new value is produced with each span of work; each member has its own.
                    run.saved = String.format("%08x%08x", run.task.hashCode(), (run.number << 8) + made);
                }
            }
            long work = run.option("work");
            if (now > mLeaseEndMillis) {
                end(run, "lapsed");
            } else if (working && work > 0 && now >= run.workFromMillis + work) {
                for (Run member : members(run)) {
                    endMember(member, "done");
                }
            } else if (!working && now - run.startMillis >= GANG_TIMEOUT_MILLIS) {
                end(run, "alone");
            } else if (working && run.option("gang") > 0 && members(run).size() < run.option("gang")) {
                end(run, "broken");
            }
        }
    }

    private void end(Run run, String how) {
        mRunning.remove(run.task);
        run.how = how;
        run.endMillis = Case.millis();
        mHighestEnded.merge(run.task, run.number, Math::max);
        mFinished.put(++mLastEnd, run);
        Case.logEnd(run);
        LOCK.notifyAll();
    }

    private long clock() {
        return Case.millis() - mBornMillis;
    }

    private Http.Response response(int status, Object... fields) {
        Map<String, Object> body = Json.of("ClockMs", clock(), "born", mBornEpochMillis);
        body.putAll(Json.of(fields));
        return new Http.Response(status, body);
    }
}
