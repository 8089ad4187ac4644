package org.marigoldturn.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;

/** Tests single decisions of the planner, the acceptance tracker and the evidence. */
class MembershipDecisionsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final PeerVersions mVersions = new PeerVersions();
    private final EndedMembers mEnded = new EndedMembers();
    private long mNowNanos;

    private static Member member(String id) {
        return new Member(id, "a", "127.0.0.1", 1, 1, 0);
    }

    private static MemberSet set(String... ids) {
        return new MemberSet(Arrays.stream(ids).map(MembershipDecisionsTest::member).toList());
    }

    private MembershipPlanner planner(String id) {
        return new MembershipPlanner(member(id), mVersions, mEnded);
    }

    /** Guards against majorities of consecutive sets that do not intersect. */
    @Example
    void aDaemonJoinsOnlyWhenAMajorityHoldsTheVersion() {
        MembershipPlanner planner = planner("d");
        mVersions.onReport("a", 7);
        mVersions.onReport("b", 6);
        assertThat(planner.plan(7, set("a", "b", "c"), 0)).isEmpty();

        mVersions.onReport("b", 7);

        assertThat(planner.plan(7, set("a", "b", "c"), 0))
                .hasValueSatisfying(
                        change -> {
                            assertThat(change.baseVersion()).isEqualTo(7);
                            assertThat(change.next()).isEqualTo(set("a", "b", "c", "d"));
                        });
    }

    /** Guards against a removed daemon that serves again with rights that others have received. */
    @Example
    void aRemovedDaemonDoesNotJoinAgain() {
        MembershipPlanner planner = planner("a");
        assertThat(planner.plan(1, set("a"), 0)).isEmpty();

        assertThat(planner.plan(2, MemberSet.EMPTY, 0)).isEmpty();
        assertThat(planner.wasRemoved(MemberSet.EMPTY)).isTrue();
    }

    /** Guards against removals by a daemon whose own network refuses connections. */
    @Example
    void refusedConnectionsCountOnlyAfterAMajorityAnsweredLaterPings() {
        MembershipPlanner planner = planner("a");
        mVersions.onReply("b", 1, 0);
        mVersions.onReply("c", 1, 0);
        mEnded.record("c", EndEvidence.CONNECTION_REFUSED, 1);
        assertThat(planner.plan(1, set("a", "b", "c"), 6 * SECOND)).isEmpty();

        mVersions.onReply("b", 1, 2);

        assertThat(planner.plan(1, set("a", "b", "c"), 6 * SECOND))
                .hasValueSatisfying(c -> assertThat(c.next()).isEqualTo(set("a", "b")));
    }

    @Example
    void aMessageWithdrawsRefusedConnectionsButNotAFarewell() {
        mEnded.record("b", EndEvidence.CONNECTION_REFUSED, 0);
        mEnded.onMessage("b");
        assertThat(mEnded.evidence("b")).isEmpty();

        mEnded.record("b", EndEvidence.FAREWELL, 0);
        mEnded.onMessage("b");
        assertThat(mEnded.isConclusive("b")).isTrue();
    }

    /** Guards against acceptance while a wrongly removed member still serves an old version. */
    @Example
    void afterARemovalAllAcknowledgementsDoNotReplaceTheWait() {
        AcceptanceTracker tracker = acceptance();
        tracker.adopt(1, set("a", "b", "c"));
        mVersions.onReport("b", 3);
        tracker.adopt(2, set("a", "b"));
        tracker.adopt(3, set("a", "b"));
        CompletableFuture<AcceptanceResult> result = tracker.awaitAccepted(3, 10_000);

        tracker.evaluate(2 * SECOND);
        assertThat(result).isNotDone();
        tracker.evaluate(5 * SECOND / 2);

        assertThat(result.join().accepted()).isTrue();
    }

    /** Guards against acceptance by a minority: elapsed time alone must never accept a change. */
    @Example
    void aMinorityIsNeverAcceptedAndTheMissingMembersAreListed() {
        AcceptanceTracker tracker = acceptance();
        tracker.adopt(1, set("a", "b", "c"));
        tracker.adopt(2, set("a", "b", "c"));
        CompletableFuture<AcceptanceResult> result = tracker.awaitAccepted(2, 60_000);
        tracker.evaluate(0);
        tracker.evaluate(59 * SECOND);
        assertThat(result).isNotDone();

        tracker.evaluate(60 * SECOND);

        assertThat(result.join().accepted()).isFalse();
        assertThat(result.join().missingMembers()).containsExactly("b", "c");
    }

    private AcceptanceTracker acceptance() {
        return new AcceptanceTracker("a", mVersions, mEnded, Runnable::run, () -> mNowNanos);
    }
}
