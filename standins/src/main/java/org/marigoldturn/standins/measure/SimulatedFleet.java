package org.marigoldturn.standins.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;
import org.marigoldturn.settings.PoolSettings;
import org.marigoldturn.settings.ResourceDivision;
import org.marigoldturn.settings.RightsDivision;
import org.marigoldturn.settings.SlotDivision;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.standins.measure.SimulatedDaemon.Start;

/**
 * A few daemons in memory with virtual time, for rights and shares only.
 *
 * <p>Run times are exponentially distributed. Deterministic for a seed. Not thread safe.
 */
public final class SimulatedFleet {
    /** Resolution of virtual time, and the delay of a message. */
    public static final int STEP_MILLIS = 10;

    /** Size of the length prefix of a message between daemons. */
    private static final int FRAME_BYTES = 4;

    private static final int SLOTS_PER_HOST = 8;

    /**
     * Size and mode of a fleet.
     *
     * @param teams teams with weights and limits
     * @param minted rights created for each team, raised to its limit if that is higher
     * @param coordinated whether rights are transferred, or stay as first divided (the baseline)
     */
    public record Setup(
            int daemons,
            int pools,
            int hostsPerPool,
            List<TeamSettings> teams,
            int minted,
            double meanRunMillis,
            boolean coordinated) {}

    private record Message(long dueMillis, String sender, String receiver, Envelope envelope) {}

    private record Running(long endMillis, SimulatedDaemon daemon, Start start) {}

    /** Requests of one team that arrive for one pool at one daemon. */
    private record Flow(int daemon, String pool, String team) {}

    private final Setup mSetup;
    private final Random mRandom;
    private final Map<String, SimulatedDaemon> mDaemons = new TreeMap<>();
    private final Map<Flow, Double> mRatesPerSecond = new HashMap<>();
    private final List<Flow> mFlows = new ArrayList<>();
    private final Deque<Message> mMessages = new ArrayDeque<>();
    private final PriorityQueue<Running> mRunning =
            new PriorityQueue<>(Comparator.comparingLong(Running::endMillis));
    private final Map<Flow, Integer> mClients = new LinkedHashMap<>();
    private long mNowMillis;
    private long mControlBytes;
    private int mUrgentWaiting;
    private long mLongestUrgentWaitMillis;

    /** Creates a fleet without load. */
    public SimulatedFleet(Setup setup, long seed) {
        mSetup = setup;
        mRandom = new Random(seed);
        VersionedState state = state(setup);
        for (int i = 0; i < setup.daemons(); i++) {
            String id = daemonId(i);
            int phase = mRandom.nextInt(1000 / STEP_MILLIS) * STEP_MILLIS;
            mDaemons.put(
                    id,
                    new SimulatedDaemon(
                            id,
                            state,
                            setup.coordinated(),
                            phase,
                            (receiver, message) -> send(id, receiver, message)));
        }
    }

    /** Returns the name of a pool. */
    public static String pool(int index) {
        return "p" + index;
    }

    /** Sets the arrivals of one team in one pool at one daemon. */
    public void setRate(int daemon, int pool, String team, double requestsPerSecond) {
        Flow flow = new Flow(daemon, pool(pool), team);
        if (mRatesPerSecond.put(flow, requestsPerSecond) == null) {
            mFlows.add(flow);
        }
    }

    /**
     * Sets the number of clients of one team in one pool at one daemon, each of which sends its
     * next request when the previous one has ended.
     */
    public void setClients(int daemon, int pool, String team, int clients) {
        mClients.put(new Flow(daemon, pool(pool), team), clients);
    }

    /** Sends urgent requests of a team with the mean run time to one daemon. */
    public void sendUrgent(int daemon, int pool, String team, int requests) {
        for (int i = 0; i < requests; i++) {
            mDaemons.get(daemonId(daemon)).arrive(pool(pool), team, true, mNowMillis);
        }
        mUrgentWaiting += requests;
    }

    /** Returns the urgent requests that have not started. */
    public int urgentWaiting() {
        return mUrgentWaiting;
    }

    /** Returns the longest time that an urgent request has waited for its start. */
    public long longestUrgentWaitMillis() {
        return mLongestUrgentWaitMillis;
    }

    /** Advances virtual time by one step. */
    public void step() {
        mNowMillis += STEP_MILLIS;
        while (!mRunning.isEmpty() && mRunning.peek().endMillis() <= mNowMillis) {
            Running ended = mRunning.poll();
            ended.daemon().end(ended.start());
        }
        for (Flow flow : mFlows) {
            int arrivals = poisson(mRatesPerSecond.get(flow) * STEP_MILLIS / 1000);
            if (arrivals > 0) {
                arrive(flow, arrivals);
            }
        }
        mClients.forEach(
                (flow, clients) -> {
                    SimulatedDaemon daemon = mDaemons.get(daemonId(flow.daemon()));
                    int pending = daemon.demand(flow.pool(), flow.team());
                    arrive(flow, Math.max(0, clients - pending));
                });
        while (!mMessages.isEmpty() && mMessages.peek().dueMillis() <= mNowMillis) {
            Message message = mMessages.poll();
            mDaemons.get(message.receiver())
                    .onMessage(message.sender(), message.envelope(), mNowMillis);
        }
        for (SimulatedDaemon daemon : mDaemons.values()) {
            daemon.tick(mNowMillis);
            daemon.dispatch().forEach(start -> mRunning.add(running(daemon, start)));
        }
    }

    /** Returns the running requests of a team in a pool. */
    public int running(int pool, String team) {
        return mDaemons.values().stream().mapToInt(d -> d.running(pool(pool), team)).sum();
    }

    /** Returns the running and queued requests of a team in a pool. */
    public int demand(int pool, String team) {
        return mDaemons.values().stream().mapToInt(d -> d.demand(pool(pool), team)).sum();
    }

    /** Returns the running requests of a team in all pools. */
    public int running(String team) {
        int running = 0;
        for (int i = 0; i < mSetup.pools(); i++) {
            running += running(i, team);
        }
        return running;
    }

    /** Returns the slots of each pool. */
    public int poolSlots() {
        return mSetup.hostsPerPool() * SLOTS_PER_HOST;
    }

    /** Returns how often daemons asked for a reassignment of the slots of a pool. */
    public int reassignments() {
        return mDaemons.values().stream().mapToInt(SimulatedDaemon::reassignments).sum();
    }

    /** Returns the bytes that all daemons have sent to others for rights and shares. */
    public long controlBytes() {
        return mControlBytes;
    }

    private void send(String sender, String receiver, Envelope.Builder message) {
        Envelope envelope = message.setSender(sender).build();
        if (!sender.equals(receiver)) {
            mControlBytes += envelope.getSerializedSize() + FRAME_BYTES;
        }
        mMessages.add(new Message(mNowMillis + STEP_MILLIS, sender, receiver, envelope));
    }

    private void arrive(Flow flow, int requests) {
        SimulatedDaemon daemon = mDaemons.get(daemonId(flow.daemon()));
        for (int i = 0; i < requests; i++) {
            daemon.arrive(flow.pool(), flow.team(), false, mNowMillis);
        }
    }

    private Running running(SimulatedDaemon daemon, Start start) {
        if (start.request().urgent()) {
            mUrgentWaiting--;
            long waitMillis = mNowMillis - start.request().attachment();
            mLongestUrgentWaitMillis = Math.max(mLongestUrgentWaitMillis, waitMillis);
        }
        double runMillis = -Math.log(1 - mRandom.nextDouble()) * mSetup.meanRunMillis();
        return new Running(mNowMillis + 1 + (long) runMillis, daemon, start);
    }

    private int poisson(double mean) {
        double threshold = Math.exp(-mean);
        int count = 0;
        double product = mRandom.nextDouble();
        while (product > threshold) {
            count++;
            product *= mRandom.nextDouble();
        }
        return count;
    }

    private static String daemonId(int index) {
        return String.format("entry-%02d-0a1b2c", index);
    }

    private static VersionedState state(Setup setup) {
        Map<String, PoolSettings> pools = new TreeMap<>();
        Map<String, HostSettings> hosts = new TreeMap<>();
        for (int p = 0; p < setup.pools(); p++) {
            pools.put(pool(p), new PoolSettings(pool(p), false));
            for (int h = 0; h < setup.hostsPerPool(); h++) {
                HostSettings host = host("worker-" + p + "-" + h, pool(p));
                hosts.put(host.name(), host);
            }
        }
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < setup.daemons(); i++) {
            ids.add(daemonId(i));
        }
        Map<String, TeamSettings> teams = new TreeMap<>();
        Map<String, ResourceDivision> divisions = new TreeMap<>();
        for (TeamSettings team : setup.teams()) {
            teams.put(team.name(), team);
            int minted = Math.max(setup.minted(), team.runningLimit());
            divisions.put(team.name(), equalDivision(minted, ids));
        }
        return new VersionedState(
                new Manifest(1, "c", "measure", 0, Map.of()),
                new FleetSettings(Map.of(), pools, Map.of(), teams, hosts),
                new MemberSet(
                        ids.stream().map(id -> new Member(id, "z", "127.0.0.1", 1, 2, 0)).toList()),
                new RightsDivision(divisions, SlotDivision.EMPTY.reassign(hosts.keySet(), ids, 1)));
    }

    private static ResourceDivision equalDivision(int minted, List<String> ids) {
        Map<String, Integer> basis = new TreeMap<>();
        for (int i = 0; i < ids.size(); i++) {
            basis.put(ids.get(i), minted / ids.size() + (i < minted % ids.size() ? 1 : 0));
        }
        return new ResourceDivision(1, minted, basis);
    }

    private static HostSettings host(String name, String pool) {
        return new HostSettings(
                name, pool, "z", "r", "127.0.0.1", 1, SLOTS_PER_HOST, 64, 1, 1, 0, null, 0);
    }
}
