package org.marigoldturn.rights;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldturn.rights.TestStates.TEAM;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marigoldturn.peer.wire.FreezeReply;
import org.marigoldturn.peer.wire.TransferHint;
import org.marigoldturn.settings.ResourceDivision;
import org.marigoldturn.settings.VersionedState;

/** Guards the limit of a team against faults of the network, of daemons and of the store. */
class RightsLedgerProperties {
    private record Request(String owner, long version) {}

    /** A few daemons on a network that loses, duplicates, delays and reorders messages. */
    private static final class Fleet {
        private final Random mRandom;
        private final boolean mLowering;
        private final List<VersionedState> mVersions = new ArrayList<>();
        private final Map<String, RightsLedger> mLive = new TreeMap<>();
        private final Map<String, Long> mHeldVersions = new HashMap<>();
        private final List<Request> mRunning = new ArrayList<>();
        private final List<Runnable> mNetwork = new ArrayList<>();
        private final Set<String> mCrashed = new HashSet<>();
        private Redistribution mAttempt;
        private long mLimitVersion = 1;
        private int mRedistributions;
        private int mTransfers;

        Fleet(long seed, boolean lowering) {
            mRandom = new Random(seed);
            mLowering = lowering;
            List<String> members = List.of("a", "b", "c", "d");
            Map<String, Integer> basis = Map.of("a", 3, "b", 2, "c", 2, "d", 2);
            mVersions.add(TestStates.state(1, 9, new ResourceDivision(1, 9, basis), members));
            members.forEach(id -> mLive.put(id, new RightsLedger(id)));
            members.forEach(this::adopt);
        }

        void step(int choice) {
            String daemon = anyLive();
            switch (choice) {
                case 0, 1, 2, 3 -> start(daemon);
                case 4, 5 -> finish();
                case 6, 7 -> hint(daemon);
                case 8, 9, 10, 11 -> deliver();
                case 12 ->
                        send(daemon, mLive.get(daemon).totalsToResend(RightsLedger.RESEND_MILLIS));
                case 13 -> adopt(daemon);
                case 14 -> freeze(daemon);
                case 15 -> redistribute();
                case 16 -> send(daemon, mLive.get(daemon).transferReserved(0));
                default -> rareEvent(daemon);
            }
        }

        private void rareEvent(String daemon) {
            int choice = mRandom.nextInt(12);
            if (choice == 0 && mLive.size() > 2) {
                mLive.remove(daemon);
                mCrashed.add(daemon);
            } else if (choice == 1) {
                changeLimit();
            }
        }

        private void start(String daemon) {
            if (mLive.get(daemon).tryAcquire(TEAM)) {
                mRunning.add(new Request(daemon, mHeldVersions.get(daemon)));
            }
            long sinceChange = mRunning.stream().filter(r -> r.version() >= mLimitVersion).count();
            assertThat(sinceChange).isLessThanOrEqualTo(limit());
            if (!mLowering) {
                assertThat(mRunning.size()).isLessThanOrEqualTo(limit());
            }
        }

        private void finish() {
            if (!mRunning.isEmpty()) {
                Request ended = mRunning.remove(mRandom.nextInt(mRunning.size()));
                if (mLive.containsKey(ended.owner())) {
                    mLive.get(ended.owner()).release(TEAM);
                }
            }
        }

        private void hint(String daemon) {
            TransferHint hint =
                    TransferHint.newBuilder()
                            .setResource(TEAM)
                            .setTaker(List.of("a", "b", "c", "d").get(mRandom.nextInt(4)))
                            .setCount(1 + mRandom.nextInt(4))
                            .build();
            send(daemon, mLive.get(daemon).onHint(hint, 0));
        }

        private void send(String sender, List<AddressedTotals> messages) {
            for (AddressedTotals message : messages) {
                mTransfers++;
                mNetwork.add(() -> receive(sender, message));
            }
        }

        private void receive(String sender, AddressedTotals message) {
            RightsLedger receiver = mLive.get(message.receiver());
            if (receiver != null) {
                receiver.onTotals(sender, message.totals());
                for (AddressedTotals ack : receiver.acknowledgements()) {
                    mNetwork.add(() -> acknowledge(ack.receiver(), message.receiver(), ack));
                }
            }
        }

        private void acknowledge(String source, String recipient, AddressedTotals ack) {
            if (mLive.containsKey(source)) {
                mLive.get(source).onAck(recipient, ack.totals());
            }
        }

        /** Delivers a random message, drops it, or delivers it and keeps it for a repetition. */
        private void deliver() {
            if (mNetwork.isEmpty()) {
                return;
            }
            int index = mRandom.nextInt(mNetwork.size());
            int outcome = mRandom.nextInt(10);
            Runnable message = outcome < 3 ? mNetwork.get(index) : mNetwork.remove(index);
            if (outcome != 9) {
                message.run();
            }
        }

        private void adopt(String daemon) {
            VersionedState state = latest();
            mLive.get(daemon).adopt(state);
            mHeldVersions.put(daemon, state.version());
        }

        private void changeLimit() {
            ResourceDivision old = latest().rights().teams().get("ploughing");
            int lowest = mLowering ? 0 : limit();
            int limit = lowest + mRandom.nextInt(6);
            Map<String, Integer> basis = new HashMap<>(old.basis());
            if (limit > old.minted()) {
                basis.merge(anyLive(), limit - old.minted(), Integer::sum);
            }
            int minted = Math.max(limit, old.minted());
            commit(limit, new ResourceDivision(old.epoch(), minted, basis));
            mLimitVersion = latest().version();
        }

        private void redistribute() {
            if (mAttempt == null) {
                mAttempt = new Redistribution(latest(), List.of("ploughing"));
                return;
            }
            Optional<Map<String, ResourceDivision>> result = mAttempt.result(withoutRequests());
            boolean current = mAttempt.request().getBaseVersion() == latest().version();
            if (result.isPresent() && current) {
                mRedistributions++;
                commit(limit(), result.get().get("ploughing"));
            }
            if (result.isPresent() || !current || mAttempt.refused()) {
                mAttempt = null;
            }
        }

        private void freeze(String daemon) {
            if (mAttempt != null) {
                Redistribution attempt = mAttempt;
                FreezeReply reply = mLive.get(daemon).onFreeze(attempt.request());
                mNetwork.add(() -> attempt.onReply(daemon, reply));
            }
        }

        private void commit(int limit, ResourceDivision division) {
            List<String> members = latest().members().members().stream().map(m -> m.id()).toList();
            long version = latest().version() + 1;
            mVersions.add(TestStates.state(version, limit, division, members));
        }

        private Set<String> withoutRequests() {
            Set<String> owners = mRunning.stream().map(Request::owner).collect(Collectors.toSet());
            return mCrashed.stream().filter(d -> !owners.contains(d)).collect(Collectors.toSet());
        }

        /** Lets all requests end without further faults, and checks that no right is lost. */
        void checkThatNoRightIsLost() {
            while (!mRunning.isEmpty()) {
                finish();
            }
            mLive.keySet().forEach(this::adopt);
            commit(limit(), latest().rights().teams().get("ploughing"));
            mLive.keySet().forEach(this::adopt);
            mAttempt = new Redistribution(latest(), List.of("ploughing"));
            mLive.forEach(
                    (id, ledger) -> mAttempt.onReply(id, ledger.onFreeze(mAttempt.request())));
            redistribute();
            mLive.keySet().forEach(this::adopt);
            int held = mLive.values().stream().mapToInt(ledger -> ledger.held(TEAM)).sum();
            assertThat(held).isEqualTo(limit());
        }

        private int limit() {
            return latest().settings().teams().get("ploughing").runningLimit();
        }

        private VersionedState latest() {
            return mVersions.get(mVersions.size() - 1);
        }

        private String anyLive() {
            return List.copyOf(mLive.keySet()).get(mRandom.nextInt(mLive.size()));
        }
    }

    @Property(tries = 400, seed = "4711")
    void limitHoldsUnderFaultsWhileItIsNotLowered(@ForAll long seed) {
        run(seed, false);
    }

    @Property(tries = 400, seed = "4712")
    void requestsStartedAfterTheLimitWasLoweredStayWithinIt(@ForAll long seed) {
        run(seed, true);
    }

    @Property(tries = 1, seed = "1")
    void faultSequencesReachTransfersAndRedistributions() {
        Fleet fleet = run(20, true);
        assertThat(fleet.mTransfers).isGreaterThan(20);
        assertThat(fleet.mRedistributions).isGreaterThan(1);
    }

    private static Fleet run(long seed, boolean lowering) {
        Fleet fleet = new Fleet(seed, lowering);
        for (int i = 0; i < 1500; i++) {
            fleet.step(fleet.mRandom.nextInt(18));
        }
        fleet.checkThatNoRightIsLost();
        return fleet;
    }
}
