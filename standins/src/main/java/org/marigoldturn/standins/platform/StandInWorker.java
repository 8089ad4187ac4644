package org.marigoldturn.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One target: runs tasks for a fixed time under a lease, keeps the highest token and the ends that
 * were not noted. Records every start. Thread safe.
 */
final class StandInWorker implements AutoCloseable {
    private final String mId;
    private final String mService;
    private final String mHostId;
    private final long mTaskMillis;
    private final long mStarted = System.currentTimeMillis();
    private final StandInHttp mHttp;
    private final TreeMap<String, Execution> mRunning = new TreeMap<>();
    private final List<ArrayNode> mFinished = new ArrayList<>();
    private final Map<String, Long> mHighestEndedRun = new HashMap<>();
    private final List<String> mStarts = new ArrayList<>();
    private long mToken;
    private long mLastEnd;
    private long mLeaseEndMillis;
    private boolean mMute;

    /** One run; the end is on the worker's clock. */
    private record Execution(long run, boolean lasting, long endMillis) {}

    StandInWorker(String id, String service, String hostId, long taskMillis) {
        mId = id;
        mService = service;
        mHostId = hostId;
        mTaskMillis = taskMillis;
        mHttp = new StandInHttp(this::handle);
    }

    /** Returns the entry that the worker writes to the store. */
    String entry(String state) {
        ObjectNode entry = StandInHttp.object();
        entry.put("Service", mService)
                .put("Address", mHttp.address())
                .put("Zone", "z1")
                .put("State", state)
                .put("Machine", mHostId)
                .put("born", mStarted);
        entry.putObject("Capacity").put("Cpu", 8_000).put("MemMb", 16_000).put("Gpu", 0);
        entry.putArray("Labels").add("a").add("r1");
        return entry.toString();
    }

    String id() {
        return mId;
    }

    String hostId() {
        return mHostId;
    }

    /** Returns the names of all started tasks, in order. */
    synchronized List<String> starts() {
        return List.copyOf(mStarts);
    }

    synchronized int countRunning() {
        advance();
        return mRunning.size();
    }

    /** Leaves the answers to all further calls out, although they are carried out. */
    synchronized void mute() {
        mMute = true;
    }

    private StandInStore.Reply handle(
            ServiceRequestContext context, AggregatedHttpRequest request, JsonNode body)
            throws InterruptedException {
        if (!mId.equals(request.headers().get("Expect-Instance", mId))) {
            return StandInStore.Reply.of(421);
        }
        StandInStore.Reply reply =
                switch (context.path()) {
                    case "/v1/run-start" -> start(body);
                    case "/v1/run-stop" -> stop(body);
                    case "/v1/hold" -> hold(body);
                    default -> StandInStore.Reply.of(404);
                };
        synchronized (this) {
            if (mMute) {
                wait(60_000);
            }
        }
        return reply;
    }

    private synchronized StandInStore.Reply start(JsonNode body) {
        advance();
        String task = body.path("Task").asText();
        long run = body.path("Run").asLong();
        if (isFenced(body)) {
            return conflict("fence");
        }
        Execution present = mRunning.get(task);
        if (present != null && present.run() == run) {
            return answer(200);
        }
        if (present != null || run <= mHighestEndedRun.getOrDefault(task, 0L)) {
            return conflict("old");
        }
        if (body.path("ExpiresMs").asLong() <= clockMillis()) {
            return conflict("late");
        }
        boolean advised = body.path("Spec").asText().startsWith("advised");
        if (advised && !StandInAdvice.isTicket(body.path("Ticket").asText(), task, mId)) {
            return conflict("ticket");
        }
        mLeaseEndMillis = Math.max(mLeaseEndMillis, body.path("ExpiresMs").asLong());
        boolean lasting = body.path("Spec").asText().startsWith("lasting");
        mRunning.put(task, new Execution(run, lasting, clockMillis() + mTaskMillis));
        mStarts.add(task);
        return answer(200);
    }

    private synchronized StandInStore.Reply stop(JsonNode body) {
        advance();
        if (isFenced(body)) {
            return conflict("fence");
        }
        String task = body.path("Task").asText();
        long run = body.path("Run").asLong();
        Execution present = mRunning.get(task);
        if (present != null && present.run() <= run) {
            end(task, present, "stopped");
        }
        mHighestEndedRun.merge(task, run, Math::max);
        return answer(200);
    }

    private synchronized StandInStore.Reply hold(JsonNode body) throws InterruptedException {
        if (isFenced(body)) {
            return conflict("fence");
        }
        advance();
        mLeaseEndMillis = Math.max(mLeaseEndMillis, body.path("ExpiresMs").asLong());
        long seen = body.path("LastSeen").asLong();
        mFinished.removeIf(end -> end.path(0).asLong() <= seen);
        long until = clockMillis() + body.path("WaitMs").asLong();
        while (mFinished.isEmpty() && clockMillis() < until) {
            wait(20);
            advance();
        }
        StandInStore.Reply reply = answer(200);
        ArrayNode running = reply.body().putArray("Running");
        mRunning.forEach(
                (task, run) -> running.addArray().add(task).add(run.run()).add("").add(100));
        reply.body().putArray("Finished").addAll(mFinished);
        return reply;
    }

    private boolean isFenced(JsonNode body) {
        long token = body.path("FencingToken").asLong();
        boolean fenced = token < mToken;
        mToken = Math.max(mToken, token);
        return fenced;
    }

    private void advance() {
        boolean lapsed = clockMillis() > mLeaseEndMillis;
        for (Map.Entry<String, Execution> entry : Map.copyOf(mRunning).entrySet()) {
            Execution run = entry.getValue();
            if (!run.lasting() && clockMillis() >= run.endMillis()) {
                end(entry.getKey(), run, "done");
            } else if (lapsed) {
                end(entry.getKey(), run, "lapsed");
            }
        }
    }

    private void end(String task, Execution run, String how) {
        mRunning.remove(task);
        mHighestEndedRun.merge(task, run.run(), Math::max);
        mFinished.add(
                StandInHttp.JSON
                        .createArrayNode()
                        .add(++mLastEnd)
                        .add(task)
                        .add(run.run())
                        .add(how)
                        .add(""));
    }

    private long clockMillis() {
        return System.currentTimeMillis() - mStarted + 1_000;
    }

    private StandInStore.Reply conflict(String reason) {
        StandInStore.Reply reply = answer(409);
        reply.body().put("Reason", reason);
        return reply;
    }

    private StandInStore.Reply answer(int status) {
        return new StandInStore.Reply(
                status, StandInHttp.object().put("ClockMs", clockMillis()).put("born", mStarted));
    }

    @Override
    public void close() {
        mHttp.close();
    }
}
