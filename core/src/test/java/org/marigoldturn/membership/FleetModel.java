package org.marigoldturn.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;

/**
 * Simulation of several daemons, with the real decision classes, a store and a network.
 *
 * <p>Messages are lost, delayed and reordered; daemons pause; links and the store fail. The clock
 * of each daemon has its own offset and rate. After each event the model checks that no daemon may
 * serve a version older than an accepted one.
 */
final class FleetModel {
    private static final long TICK_MILLIS = 500;

    private final Random mRandom;
    private final List<MemberSet> mCommitted = new ArrayList<>(List.of(MemberSet.EMPTY));
    final List<Daemon> mDaemons = new ArrayList<>();
    final Set<String> mBrokenLinks = new HashSet<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    boolean mFaultyNetwork;
    boolean mStoreUp = true;
    private long mNowMillis;
    private long mOrder;
    long mAccepted;

    private record Event(long atMillis, long order, Daemon target, Runnable action) {}

    FleetModel(long seed, int daemons) {
        mRandom = new Random(seed);
        for (int i = 0; i < daemons; i++) {
            start();
        }
    }

    /** One entry daemon. */
    final class Daemon {
        final String mId = "d" + mDaemons.size();
        final PeerVersions mVersions = new PeerVersions();
        final EndedMembers mEnded = new EndedMembers();
        final ConfirmationTracker mTracker = new ConfirmationTracker(mId, mVersions);
        final AcceptanceTracker mAcceptance =
                new AcceptanceTracker(mId, mVersions, mEnded, Runnable::run, this::nanos);
        final Member mMember = new Member(mId, "a", "127.0.0.1", 1, 1, 0);
        final MembershipPlanner mPlanner = new MembershipPlanner(mMember, mVersions, mEnded);
        final List<Runnable> mDeferred = new ArrayList<>();
        private final double mRate = 0.95 + mRandom.nextDouble() / 10;
        private final long mOffsetNanos = mRandom.nextLong();
        MemberSet mMembers = MemberSet.EMPTY;
        boolean mPaused;
        boolean mKilled;

        long nanos() {
            return mOffsetNanos + (long) (mNowMillis * 1_000_000.0 * mRate);
        }

        boolean serves() {
            return !mKilled && mTracker.mayServe(nanos());
        }

        boolean isMember() {
            return mMembers.find(mId).isPresent();
        }

        private void adopt(long version) {
            if (version > mTracker.heldVersion()) {
                mMembers = mCommitted.get((int) version);
                mVersions.retain(mMembers);
                mTracker.adopt(version, mMembers);
                mAcceptance.adopt(version, mMembers);
                pingMembers();
            }
        }

        private void tick() {
            schedule(this, TICK_MILLIS, this::tick);
            pingMembers();
            confirmByStore();
            evaluate();
            mPlanner.plan(mTracker.heldVersion(), mMembers, nanos())
                    .ifPresent(
                            change ->
                                    sendToStore(
                                            this,
                                            () -> commit(change.baseVersion(), change.next())));
        }

        private void evaluate() {
            mTracker.evaluatePeers(nanos());
            mAcceptance.evaluate(nanos());
        }

        private void pingMembers() {
            long sentNanos = nanos();
            long version = mTracker.heldVersion();
            for (Member member : mMembers.members()) {
                Daemon peer = find(member.id());
                if (peer == this) {
                    continue;
                }
                if (peer.mKilled && !isDisconnected(this, peer)) {
                    mEnded.record(peer.mId, EndEvidence.CONNECTION_REFUSED, nanos());
                }
                send(this, peer, () -> peer.onPing(this, version, sentNanos));
            }
        }

        private void onPing(Daemon sender, long version, long sentNanos) {
            mEnded.onMessage(sender.mId);
            mVersions.onReport(sender.mId, version);
            if (version > mTracker.heldVersion()) {
                long fetchNanos = nanos();
                send(this, sender, () -> sender.onPing(this, 0, fetchNanos));
            }
            long held = mTracker.heldVersion();
            send(this, sender, () -> sender.onPong(mId, held, sentNanos));
            evaluate();
        }

        /** A peer that reports a newer version also delivers it. */
        private void onPong(String sender, long version, long sentNanos) {
            mEnded.onMessage(sender);
            mVersions.onReply(sender, version, sentNanos);
            evaluate();
            adopt(version);
            evaluate();
        }

        private void confirmByStore() {
            long held = mTracker.heldVersion();
            long sentNanos = nanos();
            sendToStore(
                    this,
                    () -> {
                        long latest = latest();
                        boolean current = held == latest;
                        // Reads may come from a stale replica; the compare does not.
                        long read =
                                mRandom.nextInt(4) == 0
                                        ? mRandom.nextInt((int) latest + 1)
                                        : latest;
                        replyFromStore(
                                this,
                                () -> {
                                    if (current) {
                                        mTracker.onStoreConfirmation(held, sentNanos);
                                    } else {
                                        adopt(read);
                                    }
                                });
                    });
        }
    }

    /** Starts a daemon; it joins when its planner allows. */
    Daemon start() {
        Daemon daemon = new Daemon();
        mDaemons.add(daemon);
        schedule(daemon, mRandom.nextInt((int) TICK_MILLIS), daemon::tick);
        return daemon;
    }

    Daemon daemon(int index) {
        return mDaemons.get(Math.floorMod(index, mDaemons.size()));
    }

    long latest() {
        return mCommitted.size() - 1L;
    }

    void disconnect(Daemon a, Daemon b) {
        mBrokenLinks.add(a.mId + b.mId);
        mBrokenLinks.add(b.mId + a.mId);
    }

    void disconnectStore(Daemon daemon) {
        mBrokenLinks.add(daemon.mId + "store");
    }

    /**
     * Resumes a paused daemon; after the first check it handles in order what arrived during the
     * pause.
     */
    void resume(Daemon daemon) {
        daemon.mPaused = false;
        check();
        List<Runnable> deferred = List.copyOf(daemon.mDeferred);
        daemon.mDeferred.clear();
        deferred.forEach(Runnable::run);
        check();
    }

    /** Commits a settings change through the daemon and waits there for its acceptance. */
    void change(Daemon daemon) {
        long base = daemon.mTracker.heldVersion();
        sendToStore(
                daemon,
                () -> {
                    if (commit(base, mCommitted.get((int) base))) {
                        replyFromStore(daemon, () -> awaitAccepted(daemon, base + 1));
                    }
                });
    }

    private void awaitAccepted(Daemon daemon, long version) {
        daemon.adopt(version);
        CompletableFuture<Void> unused =
                daemon.mAcceptance
                        .awaitAccepted(version, 20_000)
                        .thenAccept(
                                result -> {
                                    if (result.accepted()) {
                                        mAccepted = Math.max(mAccepted, version);
                                    }
                                });
    }

    /** Advances the simulated time and runs the events that become due. */
    void advance(long millis) {
        long end = mNowMillis + millis;
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= end) {
            Event event = mEvents.poll();
            mNowMillis = event.atMillis();
            if (event.target().mPaused) {
                event.target().mDeferred.add(event.action());
            } else if (!event.target().mKilled) {
                event.action().run();
            }
            check();
        }
        mNowMillis = end;
        check();
    }

    private void check() {
        for (Daemon daemon : mDaemons) {
            if (daemon.serves() && daemon.mTracker.heldVersion() < mAccepted) {
                throw new AssertionError(
                        "%s serves version %d at %d ms although %d is accepted"
                                .formatted(
                                        daemon.mId,
                                        daemon.mTracker.heldVersion(),
                                        mNowMillis,
                                        mAccepted));
            }
        }
    }

    private boolean commit(long base, MemberSet members) {
        if (base != latest()) {
            return false;
        }
        mCommitted.add(members);
        return true;
    }

    private Daemon find(String id) {
        return mDaemons.stream().filter(d -> d.mId.equals(id)).findFirst().orElseThrow();
    }

    private boolean isDisconnected(Daemon from, Daemon to) {
        return mBrokenLinks.contains(from.mId + to.mId);
    }

    private void send(Daemon from, Daemon to, Runnable action) {
        if (!isDisconnected(from, to) && !isLost()) {
            schedule(to, delayMillis(), action);
        }
    }

    /**
     * Runs the action in the store unless the request is lost. A new daemon that is never paused
     * stands for the store.
     */
    private void sendToStore(Daemon from, Runnable action) {
        boolean reachable = mStoreUp && !mBrokenLinks.contains(from.mId + "store");
        if (reachable && !isLost()) {
            Daemon store = new Daemon();
            schedule(store, delayMillis(), action);
        }
    }

    private void replyFromStore(Daemon to, Runnable action) {
        if (!mBrokenLinks.contains(to.mId + "store") && !isLost()) {
            schedule(to, delayMillis(), action);
        }
    }

    private boolean isLost() {
        return mFaultyNetwork && mRandom.nextInt(5) == 0;
    }

    private long delayMillis() {
        boolean late = mFaultyNetwork && mRandom.nextInt(5) == 0;
        return late ? mRandom.nextInt(4_000) : 1 + mRandom.nextInt(20);
    }

    private void schedule(Daemon target, long delayMillis, Runnable action) {
        mEvents.add(new Event(mNowMillis + delayMillis, mOrder++, target, action));
    }
}
