package org.marigoldturn.rights;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldturn.rights.TestStates.TEAM;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.marigoldturn.peer.wire.FreezeRequest;
import org.marigoldturn.peer.wire.RightsTotals;
import org.marigoldturn.peer.wire.TransferHint;
import org.marigoldturn.settings.ResourceDivision;
import org.marigoldturn.settings.VersionedState;

/** Tests the transfers, reservations and epochs of single ledgers. */
class RightsLedgerTest {
    private static final List<String> MEMBERS = List.of("a", "b", "c");

    private static VersionedState version(long version, int limit, long epoch) {
        Map<String, Integer> basis = Map.of("a", 4, "b", 4, "c", 4);
        ResourceDivision division = new ResourceDivision(epoch, 12, basis);
        return TestStates.state(version, limit, division, MEMBERS, 4, 1, MEMBERS);
    }

    private static RightsLedger ledger(String id) {
        RightsLedger ledger = new RightsLedger(id);
        ledger.adopt(version(1, 12, 1));
        return ledger;
    }

    private static TransferHint hint(String resource, String recipient, int count) {
        return TransferHint.newBuilder()
                .setResource(resource)
                .setTaker(recipient)
                .setCount(count)
                .build();
    }

    /** Guards against a limit that no daemon can use because it is below the number of daemons. */
    @Example
    void fractionsOfALowLimitBecomeUsableAtOneDaemon() {
        RightsLedger a = ledger("a");
        RightsLedger b = ledger("b");
        a.adopt(version(2, 2, 1));
        b.adopt(version(2, 2, 1));
        assertThat(a.free(TEAM)).isZero();
        b.onTotals("a", a.onHint(hint(TEAM, "b", 4), 0).get(0).totals());
        assertThat(b.free(TEAM)).isEqualTo(1);
    }

    /** Guards against transfers to an ended daemon, which lose rights until a redistribution. */
    @Example
    void reservationsForAnEndedRecipientAreCancelled() {
        RightsLedger a = ledger("a");
        for (int i = 0; i < 4; i++) {
            a.tryAcquire(TEAM);
        }
        a.onHint(hint(TEAM, "b", 2), 0);
        a.cancelReservations("b"::equals);
        a.release(TEAM);
        assertThat(a.transferReserved(10)).isEmpty();
        assertThat(a.free(TEAM)).isEqualTo(1);
    }

    /** Guards against a reserved right that is used again by a request of its source. */
    @Example
    void rightInUseGoesToTheRecipientWhenItsRequestEnds() {
        RightsLedger a = ledger("a");
        for (int i = 0; i < 4; i++) {
            a.tryAcquire(TEAM);
        }
        assertThat(a.onHint(hint(TEAM, "b", 2), 0)).isEmpty();
        a.release(TEAM);
        assertThat(a.tryAcquire(TEAM)).isFalse();
        AddressedTotals sent = a.transferReserved(10).get(0);
        assertThat(sent.totals().getTotals(0).getTotal()).isEqualTo(1);
        a.transferReserved(RightsLedger.RESERVATION_MILLIS);
        a.release(TEAM);
        assertThat(a.tryAcquire(TEAM)).as("an expired reservation frees the right").isTrue();
    }

    /** Guards against an early total of a new epoch that is lost or counted in the old epoch. */
    @Example
    void totalsOfALaterEpochAreKeptUntilItIsKnown() {
        RightsLedger a = new RightsLedger("a");
        a.adopt(version(2, 12, 2));
        RightsLedger b = ledger("b");
        RightsTotals totals = a.onHint(hint(TEAM, "b", 3), 0).get(0).totals();
        b.onTotals("a", totals);
        assertThat(b.acknowledgements()).isEmpty();
        assertThat(b.held(TEAM)).isEqualTo(4);
        b.adopt(version(2, 12, 2));
        assertThat(b.held(TEAM)).isEqualTo(7);
        b.onTotals("a", totals);
        assertThat(b.acknowledgements()).containsExactly(new AddressedTotals("a", totals));
        assertThat(b.held(TEAM)).isEqualTo(7);
    }

    @Example
    void leavingDaemonHandsOverEverythingAndWaitsForAcknowledgement() {
        RightsLedger a = ledger("a");
        a.tryAcquire(TEAM);
        a.transferAll(MEMBERS, 0);
        assertThat(a.isHandedOver(Set.of())).as("one request still runs").isFalse();
        a.release(TEAM);
        a.close();
        a.transferAll(MEMBERS, 0);
        assertThat(a.held(TEAM)).isZero();
        assertThat(a.isHandedOver(Set.of())).as("nothing is acknowledged").isFalse();
        a.totalsToResend(RightsLedger.RESEND_MILLIS)
                .forEach(m -> a.onAck(m.receiver(), m.totals()));
        assertThat(a.isHandedOver(Set.of())).isTrue();
        assertThat(a.totalsToResend(2 * RightsLedger.RESEND_MILLIS)).isEmpty();
    }

    @Example
    void slotsOfHostsAreDividedCompletely() {
        int slots = MEMBERS.stream().mapToInt(id -> ledger(id).held("pool:p")).sum();
        assertThat(slots).isEqualTo(32);
        RightsLedger a = ledger("a");
        int before = a.held("pool:p");
        a.onHint(hint("pool:p", "b", 3), 0);
        assertThat(a.held("pool:p")).isEqualTo(before - 3);
    }

    /** Guards against a request that cannot release its right after its team was deleted. */
    @Example
    void deletedTeamStartsNothingAndReleasesWhatRuns() {
        RightsLedger a = ledger("a");
        a.tryAcquire(TEAM);
        VersionedState full = version(2, 12, 1);
        a.adopt(
                new VersionedState(
                        full.manifest(),
                        org.marigoldturn.settings.FleetSettings.EMPTY,
                        full.members(),
                        org.marigoldturn.settings.RightsDivision.EMPTY));
        assertThat(a.tryAcquire(TEAM)).isFalse();
        a.release(TEAM);
        assertThat(a.running(TEAM)).isZero();
    }

    /** Guards against a right that a request acquires while it is being transferred. */
    @Example
    void concurrentStartsAndTransfersNeverUseARightTwice() throws InterruptedException {
        RightsLedger a = ledger("a");
        AtomicInteger worst = new AtomicInteger();
        AtomicInteger transferred = new AtomicInteger();
        AtomicInteger running = new AtomicInteger();
        Runnable traffic =
                () -> {
                    for (int i = 0; i < 20_000; i++) {
                        if (a.tryAcquire(TEAM)) {
                            worst.accumulateAndGet(running.incrementAndGet(), Math::max);
                            running.decrementAndGet();
                            a.release(TEAM);
                        }
                    }
                };
        List<Thread> threads = List.of(new Thread(traffic), new Thread(traffic));
        threads.forEach(Thread::start);
        while (transferred.get() < 3) {
            transferred.addAndGet(a.onHint(hint(TEAM, "b", 1), 0).size());
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(worst.get()).isLessThanOrEqualTo(4);
        assertThat(a.held(TEAM)).isEqualTo(1);
        assertThat(a.free(TEAM)).isEqualTo(1);
    }

    /** Guards against a daemon that counts as stopped by reports requested before its end. */
    @Example
    void onlyReportsOfAllHostsAfterTheEndClearADaemon() {
        EndedDaemons ended = new EndedDaemons();
        ended.onUsageReport("h0", 5, Set.of());
        ended.onEnded("x", 10);
        ended.onUsageReport("h0", 9, Set.of());
        ended.onUsageReport("h1", 11, Set.of());
        assertThat(ended.withoutRequests(Set.of("h0", "h1"))).isEmpty();
        ended.onUsageReport("h0", 12, Set.of("x"));
        assertThat(ended.withoutRequests(Set.of("h0", "h1"))).isEmpty();
        ended.onUsageReport("h0", 13, Set.of());
        assertThat(ended.withoutRequests(Set.of("h0", "h1"))).containsExactly("x");
    }

    /** Guards against rights that arrive after the freeze reply and exist in both epochs. */
    @Example
    void frozenDaemonNeitherAcceptsNorSends() {
        RightsLedger a = ledger("a");
        RightsLedger b = ledger("b");
        RightsTotals late = a.onHint(hint(TEAM, "b", 2), 0).get(0).totals();
        FreezeRequest request =
                FreezeRequest.newBuilder().setBaseVersion(1).addResources(TEAM).build();
        assertThat(b.onFreeze(request).getFrozen()).isTrue();
        b.onTotals("a", late);
        assertThat(b.acknowledgements()).isEmpty();
        assertThat(b.onHint(hint(TEAM, "c", 1), 0)).isEmpty();
        assertThat(b.held(TEAM)).isEqualTo(4);
        b.adopt(version(2, 12, 1));
        b.onTotals("a", late);
        assertThat(b.held(TEAM)).as("a later version resumes transfers").isEqualTo(6);
        assertThat(b.onFreeze(request).getFrozen()).as("based on an old version").isFalse();
    }
}
