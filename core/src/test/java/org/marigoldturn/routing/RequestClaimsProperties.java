package org.marigoldturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Tests several owners of request ids with generated sequences of joins, leaves, crashes, pauses
 * and claims. Daemons adopt member sets at different times and may skip some, clocks differ, and
 * handovers are lost, late and duplicated.
 */
class RequestClaimsProperties {
    private static final long START = 1_700_000_000_000L;
    private static final int CLOCK_OFFSET_MILLIS = 1_000;
    private static final int REMEMBERED_MESSAGES = 40;

    private record Message(String sender, String receiver, ClaimHandoverData data) {}

    /** A daemon with its table and the generation that it holds. */
    private static final class Daemon {
        private final String mId;
        private final RequestClaims mTable;
        private final int mOffsetMillis;
        private int mGeneration;
        private boolean mLeaving;

        Daemon(String id, int offsetMillis) {
            mId = id;
            mTable = new RequestClaims(id);
            mOffsetMillis = offsetMillis;
        }
    }

    private final Random mRandom = new Random();
    private final Map<String, Daemon> mAlive = new HashMap<>();
    private final List<Set<String>> mSets = new ArrayList<>(List.of(Set.of()));
    private final List<Message> mMessages = new ArrayList<>();
    private final Map<RequestId, String> mClaimants = new HashMap<>();
    private final List<RequestId> mIds = new ArrayList<>();
    private long mNow = START;
    private int mAccepted;
    private int mNextDaemon;

    private static RequestClaimsProperties fleet(long seed) {
        RequestClaimsProperties fleet = new RequestClaimsProperties();
        fleet.mRandom.setSeed(seed);
        return fleet;
    }

    /** Guards against an id that is granted twice, by two owners or by one. */
    @Property(tries = 400, seed = "4041")
    void noIdIsGrantedTwice(@ForAll long seed) {
        RequestClaimsProperties fleet = fleet(seed);
        fleet.join();
        for (int step = 0; step < 500; step++) {
            fleet.step();
        }
    }

    /**
     * Guards against ids that are unknown or without an owner although no owner crashed: daemons
     * join and leave one after the other, and all handovers arrive. It is always the oldest member
     * that leaves, so that no member set recurs, because a leave handover does not distinguish
     * equal sets.
     */
    @Property(tries = 100, seed = "4042")
    void plannedChangesMakeNoIdUnknown(@ForAll long seed) {
        RequestClaimsProperties fleet = fleet(seed);
        fleet.join();
        fleet.settle();
        fleet.mNow += 10_000;
        for (int round = 0; round < 12; round++) {
            if (fleet.mRandom.nextInt(3) > 0 || fleet.mAlive.size() == 1) {
                fleet.join();
            } else {
                Daemon leaving = fleet.mAlive.get(oldest(fleet.mAlive.keySet()));
                fleet.handOverAll(leaving);
                fleet.deliverAll();
                fleet.commitLeave(leaving);
            }
            fleet.settle();
            for (int i = 0; i < 20; i++) {
                RequestId id = fleet.newId();
                ClaimResult first = fleet.claim(fleet.anyDaemon(), id);
                assertThat(first).isEqualTo(ClaimResult.GRANTED);
            }
            fleet.mNow += fleet.mRandom.nextInt(3_000);
        }
    }

    private void step() {
        mNow += mRandom.nextInt(25) == 0 ? mRandom.nextInt(100_000) : mRandom.nextInt(1_200);
        switch (mRandom.nextInt(16)) {
            case 0 -> join();
            case 1 -> leave();
            case 2 -> crash();
            case 3 -> release();
            case 4, 5 -> adopt(anyDaemon(), mRandom.nextInt(4) == 0);
            case 6 -> accept(anyDaemon());
            case 7 -> settle();
            case 8 -> sendJoinHandovers(anyDaemon());
            case 9, 10 -> deliver();
            case 11, 12, 13 -> claim(anyDaemon(), newId());
            default -> claimAgain();
        }
    }

    private static String oldest(Set<String> daemonIds) {
        return daemonIds.stream()
                .min(Comparator.comparing(id -> Integer.parseInt(id.substring(1))))
                .orElseThrow();
    }

    private Daemon anyDaemon() {
        List<String> ids = List.copyOf(new TreeSet<>(mAlive.keySet()));
        return mAlive.get(ids.get(mRandom.nextInt(ids.size())));
    }

    private int newest() {
        return mSets.size() - 1;
    }

    private long now(Daemon daemon) {
        return mNow + daemon.mOffsetMillis;
    }

    private void join() {
        int offset = mRandom.nextInt(2 * CLOCK_OFFSET_MILLIS + 1) - CLOCK_OFFSET_MILLIS;
        Daemon daemon = new Daemon("d" + mNextDaemon++, offset);
        adoptNewest(daemon);
        Set<String> members = new HashSet<>(mSets.get(newest()));
        members.add(daemon.mId);
        mSets.add(members);
        mAlive.put(daemon.mId, daemon);
        if (mRandom.nextInt(4) > 0) {
            adoptNewest(daemon);
        }
    }

    private void leave() {
        Daemon leaving = anyDaemon();
        if (!leaving.mLeaving) {
            handOverAll(leaving);
        } else {
            commitLeave(leaving);
        }
    }

    private void handOverAll(Daemon leaving) {
        leaving.mLeaving = true;
        leaving.mTable
                .handOverAll(now(leaving))
                .forEach((receiver, data) -> send(new Message(leaving.mId, receiver, data)));
    }

    /** A member commits its leave based on the version that it holds, here the newest. */
    private void commitLeave(Daemon leaving) {
        adoptNewest(leaving);
        crash(leaving);
    }

    private void crash() {
        crash(anyDaemon());
    }

    private void crash(Daemon daemon) {
        if (mAlive.size() > 1) {
            mAlive.remove(daemon.mId);
            Set<String> members = new HashSet<>(mSets.get(newest()));
            members.remove(daemon.mId);
            mSets.add(members);
        }
    }

    private void adopt(Daemon daemon, boolean skips) {
        if (skips) {
            adoptNewest(daemon);
        } else if (daemon.mGeneration < newest()) {
            adopt(daemon, daemon.mGeneration + 1);
        }
    }

    private void adoptNewest(Daemon daemon) {
        if (daemon.mGeneration < newest()) {
            adopt(daemon, newest());
        }
    }

    private void adopt(Daemon daemon, int generation) {
        daemon.mGeneration = generation;
        daemon.mTable.onMembersAdopted(generation, mSets.get(generation));
    }

    /** After an acceptance no daemon serves an older set; {@link #claim} ensures this. */
    private void accept(Daemon daemon) {
        mAccepted = Math.max(mAccepted, daemon.mGeneration);
        daemon.mTable.onMembersAccepted(daemon.mGeneration, now(daemon));
    }

    /** Lets all daemons adopt each generation up to the newest, exchange handovers, and accept. */
    private void settle() {
        for (Daemon daemon : List.copyOf(mAlive.values())) {
            while (daemon.mGeneration < newest()) {
                adopt(daemon, false);
            }
        }
        mAlive.values().forEach(this::sendJoinHandovers);
        deliverAll();
        mAlive.values().forEach(this::accept);
    }

    private void sendJoinHandovers(Daemon daemon) {
        daemon.mTable
                .joinHandovers(now(daemon), Set.of())
                .forEach((receiver, data) -> send(new Message(daemon.mId, receiver, data)));
    }

    private void send(Message message) {
        mMessages.add(message);
        if (mMessages.size() > REMEMBERED_MESSAGES) {
            mMessages.remove(0);
        }
    }

    /** Delivers one of the last messages, possibly again. */
    private void deliver() {
        if (!mMessages.isEmpty()) {
            deliver(mMessages.get(mRandom.nextInt(mMessages.size())));
        }
    }

    private void deliverAll() {
        mMessages.forEach(this::deliver);
    }

    private void deliver(Message message) {
        Daemon receiver = mAlive.get(message.receiver());
        if (receiver != null) {
            receiver.mTable.receive(message.sender(), message.data());
            Daemon sender = mAlive.get(message.sender());
            if (sender != null && !sender.mLeaving && mRandom.nextBoolean()) {
                sender.mTable.onHandedOver(message.receiver());
            }
        }
    }

    private RequestId newId() {
        RequestId id = RequestId.generate(mNow + mRandom.nextLong(2_001) - 1_000, mRandom);
        mIds.add(id);
        return id;
    }

    private void claimAgain() {
        if (!mIds.isEmpty()) {
            claim(anyDaemon(), mIds.get(mRandom.nextInt(mIds.size())));
        }
    }

    /** Claims as {@code daemon.PeerClaimRegistry} does. */
    private ClaimResult claim(Daemon claimant, RequestId id) {
        boolean serving = claimant.mGeneration >= mAccepted;
        if (!serving || RequestId.parse(id.toString(), now(claimant)).isLeft()) {
            return ClaimResult.UNKNOWN;
        }
        String ownerId = RequestClaims.owner(id, mSets.get(claimant.mGeneration)).orElse("");
        Daemon owner = mAlive.get(ownerId);
        if (owner == null || owner.mGeneration < claimant.mGeneration) {
            return ClaimResult.NOT_OWNER;
        }
        ClaimResult result = owner.mTable.claim(id, claimant.mId, now(owner));
        if (result == ClaimResult.GRANTED) {
            assertThat(mClaimants.put(id, claimant.mId)).as("earlier grant of %s", id).isNull();
        }
        return result;
    }

    /** Releases a claim at the owner known to its claimant; the id may then be claimed again. */
    private void release() {
        List<RequestId> ids = mIds.stream().filter(mClaimants::containsKey).toList();
        if (ids.isEmpty()) {
            return;
        }
        RequestId id = ids.get(mRandom.nextInt(ids.size()));
        Daemon claimant = mAlive.get(mClaimants.get(id));
        if (claimant == null) {
            return;
        }
        String ownerId = RequestClaims.owner(id, mSets.get(claimant.mGeneration)).orElse("");
        if (mAlive.containsKey(ownerId)) {
            mAlive.get(ownerId).mTable.release(id, claimant.mId);
        }
        mClaimants.remove(id);
    }
}
