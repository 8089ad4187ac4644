package org.marigoldturn.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests confirmation, acceptance and member set changes of several simulated daemons under faults.
 */
class ConfirmationProperties {
    private enum Kind {
        ADVANCE,
        CHANGE,
        DISCONNECT,
        DISCONNECT_STORE,
        ISOLATE,
        PARTITION,
        HEAL,
        STORE_DOWN,
        STORE_UP,
        PAUSE,
        RESUME,
        KILL,
        WRONG_EVIDENCE,
        START
    }

    private record Action(Kind kind, int daemon, int other, int millis) {}

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Kind> kinds =
                Arbitraries.frequencyOf(
                        Tuple.of(8, Arbitraries.just(Kind.ADVANCE)),
                        Tuple.of(2, Arbitraries.of(Kind.PARTITION, Kind.START)),
                        Tuple.of(2, Arbitraries.of(Kind.HEAL, Kind.STORE_UP)),
                        Tuple.of(4, Arbitraries.just(Kind.CHANGE)),
                        Tuple.of(6, Arbitraries.of(Kind.class)));
        return Combinators.combine(
                        kinds,
                        Arbitraries.integers().between(0, 7),
                        Arbitraries.integers().between(0, 7),
                        Arbitraries.integers().between(1, 2_500))
                .as(Action::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(120);
    }

    /**
     * Guards against a daemon that serves an older version after a change was reported as accepted;
     * the model checks this after each event.
     */
    @Property(seed = "4711", tries = 1500)
    void noDaemonServesAnOlderVersionThanAnAcceptedOne(
            @ForAll("actions") List<Action> actions,
            @ForAll @IntRange(min = 1, max = 5) int daemons,
            @ForAll long seed) {
        FleetModel fleet = new FleetModel(seed, daemons);
        fleet.advance(8_000);
        fleet.mFaultyNetwork = true;
        for (Action action : actions) {
            apply(fleet, action);
        }
        fleet.mDaemons.forEach(fleet::resume);
        fleet.advance(5_000);
    }

    private static void apply(FleetModel fleet, Action action) {
        FleetModel.Daemon daemon = fleet.daemon(action.daemon());
        FleetModel.Daemon other = fleet.daemon(action.other());
        switch (action.kind()) {
            case ADVANCE -> fleet.advance(action.millis());
            case CHANGE -> fleet.change(daemon);
            case DISCONNECT -> fleet.disconnect(daemon, other);
            case DISCONNECT_STORE -> fleet.disconnectStore(daemon);
            case ISOLATE -> isolate(fleet, daemon);
            case PARTITION -> partition(fleet, action.millis());
            case HEAL -> fleet.mBrokenLinks.clear();
            case STORE_DOWN -> fleet.mStoreUp = false;
            case STORE_UP -> fleet.mStoreUp = true;
            case PAUSE -> daemon.mPaused = true;
            case RESUME -> fleet.resume(daemon);
            case KILL -> daemon.mKilled = true;
            case WRONG_EVIDENCE ->
                    daemon.mEnded.record(other.mId, EndEvidence.CONNECTION_REFUSED, daemon.nanos());
            case START -> fleet.start();
            default -> throw new IllegalArgumentException("unknown action " + action);
        }
    }

    private static void isolate(FleetModel fleet, FleetModel.Daemon daemon) {
        fleet.disconnectStore(daemon);
        fleet.mDaemons.forEach(other -> fleet.disconnect(daemon, other));
    }

    /**
     * Splits the fleet in two by the bits of the mask; one side also loses its connection to the
     * store.
     */
    private static void partition(FleetModel fleet, int mask) {
        List<FleetModel.Daemon> daemons = fleet.mDaemons;
        for (int i = 0; i < daemons.size(); i++) {
            if ((mask >> i) % 2 == 1) {
                continue;
            }
            fleet.disconnectStore(daemons.get(i));
            for (int j = 0; j < daemons.size(); j++) {
                if ((mask >> j) % 2 == 1) {
                    fleet.disconnect(daemons.get(i), daemons.get(j));
                }
            }
        }
    }

    private static FleetModel joined(int daemons) {
        FleetModel fleet = new FleetModel(1, daemons);
        fleet.advance(5_000 + 2_000L * daemons);
        assertThat(fleet.mDaemons).allMatch(FleetModel.Daemon::serves);
        return fleet;
    }

    private static long serving(FleetModel fleet) {
        return fleet.mDaemons.stream().filter(FleetModel.Daemon::serves).count();
    }

    @Example
    void aChangeIsAcceptedQuicklyWithoutFaults() {
        FleetModel fleet = joined(9);
        fleet.change(fleet.daemon(3));

        fleet.advance(200);

        assertThat(fleet.mAccepted).isEqualTo(fleet.latest());
    }

    /** Guards against a fleet that stops serving when the store is unavailable. */
    @Example
    void allServeThroughALongStoreOutage() {
        FleetModel fleet = joined(5);
        fleet.mStoreUp = false;
        for (int second = 0; second < 600; second++) {
            fleet.advance(1_000);
            assertThat(serving(fleet)).isEqualTo(5);
        }
    }

    @Example
    void anIsolatedDaemonStopsWithinTwoSecondsAndOthersAcceptAChange() {
        FleetModel fleet = joined(5);
        isolate(fleet, fleet.daemon(0));
        fleet.advance(2_200);
        assertThat(fleet.daemon(0).serves()).isFalse();
        assertThat(serving(fleet)).isEqualTo(4);

        fleet.change(fleet.daemon(1));
        fleet.advance(3_000);

        assertThat(fleet.mAccepted).isEqualTo(fleet.latest());
    }

    /** Guards against a paused daemon that serves by its expired confirmation when it resumes. */
    @Example
    void aResumedDaemonDoesNotServeUntilItIsConfirmedAgain() {
        FleetModel fleet = joined(3);
        FleetModel.Daemon paused = fleet.daemon(0);
        paused.mPaused = true;
        fleet.change(fleet.daemon(1));
        fleet.advance(6_000);
        assertThat(fleet.mAccepted).isEqualTo(fleet.latest());
        assertThat(paused.serves()).isFalse();

        fleet.resume(paused);
        fleet.advance(1_000);

        assertThat(paused.serves()).isTrue();
    }

    @Example
    void aKilledDaemonIsRemovedAndAPausedOneIsNot() {
        FleetModel fleet = joined(5);
        fleet.daemon(0).mKilled = true;
        fleet.daemon(1).mPaused = true;
        fleet.advance(10_000);

        assertThat(fleet.daemon(2).mMembers.members())
                .extracting("id")
                .containsExactly("d1", "d2", "d3", "d4");
    }

    /** Guards against one daemon with a faulty network that removes the live majority. */
    @Example
    void refusedConnectionsOfOneDaemonDoNotRemoveAMajority() {
        FleetModel fleet = joined(3);
        FleetModel.Daemon faulty = fleet.daemon(0);
        fleet.disconnect(faulty, fleet.daemon(1));
        fleet.disconnect(faulty, fleet.daemon(2));
        faulty.mEnded.record("d1", EndEvidence.CONNECTION_REFUSED, faulty.nanos());
        faulty.mEnded.record("d2", EndEvidence.CONNECTION_REFUSED, faulty.nanos());
        fleet.advance(1_000);
        fleet.change(fleet.daemon(1));
        fleet.advance(20_000);

        assertThat(fleet.daemon(1).isMember()).isTrue();
        assertThat(fleet.daemon(2).isMember()).isTrue();
    }

    /** Guards against a fleet that can never change its members again after losing a majority. */
    @Example
    void conclusiveEvidenceAllowsAReplacementOfTheWholeFleet() {
        FleetModel fleet = joined(3);
        fleet.mDaemons.forEach(daemon -> daemon.mKilled = true);
        FleetModel.Daemon replacement = fleet.start();
        fleet.advance(5_000);
        assertThat(replacement.isMember()).isFalse();

        for (String id : List.of("d0", "d1", "d2")) {
            replacement.mEnded.record(id, EndEvidence.OPERATOR, replacement.nanos());
        }
        fleet.advance(20_000);

        assertThat(replacement.mMembers.members()).extracting("id").containsExactly("d3");
        assertThat(replacement.serves()).isTrue();
    }

    @Example
    void aLeavingDaemonRemovesItselfAndDoesNotJoinAgain() {
        FleetModel fleet = joined(3);
        FleetModel.Daemon leaving = fleet.daemon(0);
        leaving.mTracker.stop();
        leaving.mPlanner.requestLeave();
        fleet.advance(5_000);

        assertThat(leaving.isMember()).isFalse();
        assertThat(leaving.serves()).isFalse();
        assertThat(fleet.daemon(1).mMembers.members()).hasSize(2);
    }
}
