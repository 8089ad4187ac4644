package org.marigoldturn.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Stand-in for one target: runs tasks for a fixed time while its lease lasts, and records every
 * start.
 *
 * <p>It keeps the highest fencing token that it has received, and the ends of runs until a poll
 * states that they have been seen. A task whose payload starts with {@code lasting} runs until it
 * is stopped or ended by a test, or the lease expires; one whose payload starts with {@code
 * advised} starts only with a ticket of the policy service. Thread safe.
 */
final class StandInTarget implements AutoCloseable {
    /** A target that is added has run before, so that its clock is ahead of its next one's. */
    private static final long FIRST_UPTIME_MILLIS = 600_000;

    /** The daemons number their contacts with a target in these low bits of the fencing token. */
    private static final int CONTACT_BITS = 20;

    private final long mTaskMillis;
    private final StandInRuns mRuns;
    private final StandInLease mLease;
    private final StandInHttp mHttp;
    private final TreeMap<String, Execution> mRunning = new TreeMap<>();
    private final StandInEnds mEnds;
    private final Map<String, Long> mHighestEndedRun = new HashMap<>();
    private final TreeMap<Long, Integer> mPollsByTerm = new TreeMap<>();
    private final List<String> mStarts = new ArrayList<>();
    private volatile StandInTargetEntry mEntry;
    private long mHighestToken;
    private int mPolls;
    private boolean mHoldsBackResponses;
    private boolean mDelaysStops;
    private boolean mHasPower = true;
    private boolean mResponds = true;
    private long mNewestTermWithResponse = Long.MAX_VALUE;
    private boolean mLosesOrders;
    private boolean mClosed;
    private int mLostStarts;
    private long mStartDelayMillis = Long.MAX_VALUE;

    /** One run; it ends at a time of the target's clock, unless it is long-running. */
    private record Execution(long runNumber, boolean longRunning, long endMillis) {}

    StandInTarget(StandInTargetEntry entry, long taskMillis, StandInRuns runs) {
        this(entry, taskMillis, runs, new StandInLease(FIRST_UPTIME_MILLIS));
        listUnder(address());
    }

    private StandInTarget(
            StandInTargetEntry entry, long taskMillis, StandInRuns runs, StandInLease lease) {
        mEntry = entry.withBorn(lease.startedAtMillis());
        mTaskMillis = taskMillis;
        mRuns = runs;
        mLease = lease;
        mEnds = new StandInEnds(entry.id(), runs);
        mHttp = new StandInHttp(this::handle);
    }

    /**
     * Ends this incarnation as a loss of power does, and returns the next one, which is listed
     * under the same id and address; its clock, ends and fencing token start anew.
     */
    StandInTarget restart(String kind) {
        losePower();
        var unused = stop();
        return new StandInTarget(mEntry.withKind(kind), mTaskMillis, mRuns, new StandInLease(0));
    }

    /** Returns the address at which this incarnation serves. */
    String address() {
        return mHttp.address();
    }

    /** Lists the target under the address of a relay to it. */
    void listUnder(String address) {
        mEntry = mEntry.withAddress(address);
    }

    /** Returns the entry of the target for the store. */
    String entry(String state) {
        return mEntry.text(state);
    }

    String id() {
        return mEntry.id();
    }

    String hostId() {
        return mEntry.hostId();
    }

    /** Returns the names of all started tasks, in order. */
    synchronized List<String> starts() {
        return List.copyOf(mStarts);
    }

    synchronized int countRunning() {
        advance();
        return mRunning.size();
    }

    /**
     * Holds back the responses to all further calls for 60 s; the calls are carried out at once.
     */
    synchronized void holdBackResponses() {
        mHoldsBackResponses = true;
    }

    /** Returns the number of accepted polls. */
    synchronized int countPolls() {
        return mPolls;
    }

    /**
     * Returns the newest term under which two polls were accepted, so that its owner has processed
     * the response to the first one; 0 if there is none.
     */
    synchronized long lastReadTerm() {
        return mPollsByTerm.descendingMap().entrySet().stream()
                .filter(polls -> polls.getValue() >= 2)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(0L);
    }

    /** Leaves all calls without an effect and a response from now on; connections stay open. */
    synchronized void stopResponding() {
        mResponds = false;
        notifyAll();
    }

    /**
     * Leaves calls of owners with a higher term than the present without an effect and a response.
     */
    synchronized void stopRespondingToNewerTerms() {
        mNewestTermWithResponse = term(mHighestToken);
    }

    /** Responds to further calls again. */
    synchronized void startResponding() {
        mResponds = true;
    }

    /** Returns whether owners with any newer term get responses. */
    synchronized boolean responds() {
        return mResponds && mNewestTermWithResponse == Long.MAX_VALUE;
    }

    /** Ends all runs as a loss of power does: no end is listed, and no call gets a response. */
    synchronized void losePower() {
        advance();
        mHasPower = false;
        Map.copyOf(mRunning).forEach((task, run) -> end(task, run, "lost", clockMillis()));
        stopResponding();
    }

    synchronized boolean hasPower() {
        return mHasPower;
    }

    /** Leaves all further start and stop orders without an effect and a response. */
    synchronized void loseOrders() {
        mLosesOrders = true;
    }

    /** Like {@link #loseOrders}, but carries out each start order after the given time. */
    synchronized void loseOrdersAndStartLate(long delayMillis) {
        mLosesOrders = true;
        mStartDelayMillis = delayMillis;
    }

    /** Returns the number of start orders that were lost. */
    synchronized int countLostStarts() {
        return mLostStarts;
    }

    /** Delays the stop orders until {@link #endRuns} is called. */
    synchronized void delayStops() {
        mDelaysStops = true;
    }

    /** Ends all runs as done, and carries out the delayed stop orders after that. */
    synchronized void endRuns() {
        advance();
        for (Map.Entry<String, Execution> entry : Map.copyOf(mRunning).entrySet()) {
            end(entry.getKey(), entry.getValue(), "done", clockMillis());
        }
        mDelaysStops = false;
        notifyAll();
    }

    private StandInStore.Response handle(
            ServiceRequestContext context, AggregatedHttpRequest request, JsonNode body)
            throws InterruptedException {
        if (!id().equals(request.headers().get("Expect-Instance", id()))) {
            return StandInStore.Response.of(421);
        }
        synchronized (this) {
            if (!mResponds || term(token(body)) > mNewestTermWithResponse) {
                awaitClose();
                return StandInStore.Response.of(503);
            }
        }
        StandInStore.Response response =
                switch (context.path()) {
                    case "/v1/run-start" -> receiveStart(body);
                    case "/v1/run-stop" -> receiveStop(body);
                    case "/v1/hold" -> poll(body);
                    default -> StandInStore.Response.of(404);
                };
        synchronized (this) {
            if (!mResponds) {
                awaitClose();
            }
            if (mHoldsBackResponses) {
                wait(60_000);
            }
        }
        return response;
    }

    private synchronized StandInStore.Response receiveStart(JsonNode body)
            throws InterruptedException {
        if (!mLosesOrders) {
            return start(body);
        }
        mLostStarts++;
        if (mStartDelayMillis < Long.MAX_VALUE) {
            long dueMillis = clockMillis() + mStartDelayMillis;
            while (!mClosed && clockMillis() < dueMillis) {
                wait(dueMillis - clockMillis() + 1);
            }
            start(body);
        }
        awaitClose();
        return StandInStore.Response.of(503);
    }

    private synchronized StandInStore.Response receiveStop(JsonNode body)
            throws InterruptedException {
        if (mLosesOrders) {
            awaitClose();
        }
        return stop(body);
    }

    private synchronized void awaitClose() throws InterruptedException {
        while (!mClosed) {
            wait();
        }
    }

    private synchronized StandInStore.Response start(JsonNode body) {
        advance();
        String task = body.path("Task").asText();
        long runNumber = body.path("Run").asLong();
        if (isFenced(body)) {
            return conflict("fence");
        }
        Execution current = mRunning.get(task);
        if (current != null && current.runNumber() == runNumber) {
            return response(200);
        }
        if (current != null || runNumber <= mHighestEndedRun.getOrDefault(task, 0L)) {
            mLease.extend(body.path("ExpiresMs").asLong());
            return conflict("old");
        }
        if (body.path("ExpiresMs").asLong() <= clockMillis()) {
            return conflict("late");
        }
        boolean advised = body.path("Spec").asText().startsWith("advised");
        if (advised && !StandInPolicyService.isTicket(body.path("Ticket").asText(), task, id())) {
            return conflict("ticket");
        }
        mLease.extend(body.path("ExpiresMs").asLong());
        boolean longRunning = body.path("Spec").asText().startsWith("lasting");
        mRunning.put(task, new Execution(runNumber, longRunning, clockMillis() + mTaskMillis));
        mStarts.add(task);
        mRuns.onStart(id(), task, runNumber, System.currentTimeMillis());
        return response(200);
    }

    private synchronized StandInStore.Response stop(JsonNode body) throws InterruptedException {
        while (mDelaysStops) {
            wait();
        }
        advance();
        if (isFenced(body)) {
            return conflict("fence");
        }
        String task = body.path("Task").asText();
        long runNumber = body.path("Run").asLong();
        Execution current = mRunning.get(task);
        if (current != null && current.runNumber() <= runNumber) {
            end(task, current, "stopped", clockMillis());
        }
        mHighestEndedRun.merge(task, runNumber, Math::max);
        return response(200);
    }

    /** Extends the lease, and waits for ends of runs that no poll has stated as seen. */
    private synchronized StandInStore.Response poll(JsonNode body) throws InterruptedException {
        if (isFenced(body)) {
            return conflict("fence");
        }
        mPolls++;
        mPollsByTerm.merge(term(token(body)), 1, Integer::sum);
        advance();
        mLease.extend(body.path("ExpiresMs").asLong());
        mEnds.confirm(body.path("LastSeen").asLong());
        long untilMillis = clockMillis() + body.path("WaitMs").asLong();
        while (mEnds.unseen().isEmpty() && clockMillis() < untilMillis) {
            wait(20);
            advance();
        }
        StandInStore.Response response = response(200);
        ArrayNode running = response.body().putArray("Running");
        mRunning.forEach(
                (task, run) -> running.addArray().add(task).add(run.runNumber()).add("").add(100));
        response.body().putArray("Finished").addAll(mEnds.unseen());
        return response;
    }

    private static long token(JsonNode body) {
        return body.path("FencingToken").asLong();
    }

    private static long term(long token) {
        return token >> CONTACT_BITS;
    }

    private boolean isFenced(JsonNode body) {
        long token = token(body);
        boolean fenced = token < mHighestToken;
        mHighestToken = Math.max(mHighestToken, token);
        return fenced;
    }

    /** Ends the runs whose time is over, and all runs once the lease has expired. */
    private void advance() {
        boolean leaseExpired = clockMillis() > mLease.endMillis();
        for (Map.Entry<String, Execution> entry : Map.copyOf(mRunning).entrySet()) {
            Execution run = entry.getValue();
            // A run that was to end after the lease has lapsed, also if that is noticed later.
            if (!run.longRunning()
                    && Math.min(clockMillis(), mLease.endMillis()) >= run.endMillis()) {
                end(entry.getKey(), run, "done", run.endMillis());
            } else if (leaseExpired) {
                end(entry.getKey(), run, "lapsed", mLease.endMillis());
            }
        }
        if (leaseExpired) {
            mEnds.onLapse();
        }
    }

    private void end(String task, Execution run, String outcome, long endMillis) {
        mRunning.remove(task);
        mRuns.onEnd(id(), task, mLease.epochMillis(endMillis), outcome);
        mHighestEndedRun.merge(task, run.runNumber(), Math::max);
        mEnds.add(task, run.runNumber(), outcome);
    }

    private long clockMillis() {
        return mLease.clockMillis();
    }

    private StandInStore.Response conflict(String reason) {
        StandInStore.Response response = response(409);
        response.body().put("Reason", reason);
        return response;
    }

    private StandInStore.Response response(int status) {
        return new StandInStore.Response(
                status,
                StandInHttp.object()
                        .put("ClockMs", clockMillis())
                        .put("born", mLease.startedAtMillis()));
    }

    /** Stops the target; the future completes once its server has stopped. */
    CompletableFuture<Void> stop() {
        synchronized (this) {
            mClosed = true;
            mDelaysStops = false;
            notifyAll();
        }
        return mHttp.stop();
    }

    @Override
    public void close() {
        stop().join();
    }
}
