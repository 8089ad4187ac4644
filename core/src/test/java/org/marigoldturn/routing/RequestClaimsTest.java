package org.marigoldturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;

/** Tests which ids one owner grants after joins, planned leaves and crashes. */
class RequestClaimsTest {
    private static final long START = 1_700_000_000_000L;

    private final Random mRandom = new Random(7);
    private final List<RequestId> mGranted = new ArrayList<>();
    private final List<RequestId> mUnclaimed = new ArrayList<>();
    private long mNow = START;

    /** Returns the table of a daemon that has been a member of the given set for a minute. */
    private RequestClaims settled(String daemonId, String... members) {
        RequestClaims table = new RequestClaims(daemonId);
        table.onMembersAdopted(1, Set.of(members));
        table.onMembersAccepted(1, START - 60_000);
        return table;
    }

    /** Lets a table grant half of the new ids. */
    private void claimHalf(RequestClaims table) {
        for (int i = 0; i < 400; i++) {
            RequestId id = RequestId.generate(mNow, mRandom);
            if (i % 2 == 0 && table.claim(id, "a", mNow) == ClaimResult.GRANTED) {
                mGranted.add(id);
            } else {
                mUnclaimed.add(id);
            }
        }
    }

    private static boolean isOwner(RequestId id, String daemonId, Set<String> members) {
        return RequestClaims.owner(id, members).orElseThrow().equals(daemonId);
    }

    /** Guards against ids that become unknown by a planned leave. */
    @Example
    void aPlannedLeaveMakesNoIdUnknown() {
        RequestClaims leaving = settled("d0", "d0", "d1");
        RequestClaims remaining = settled("d1", "d0", "d1");
        claimHalf(leaving);
        remaining.receive("d0", leaving.handOverAll(mNow).get("d1"));
        remaining.onMembersAdopted(2, Set.of("d1"));
        remaining.onMembersAccepted(2, mNow);
        for (RequestId id : mGranted) {
            assertThat(remaining.claim(id, "x", mNow)).isEqualTo(ClaimResult.DUPLICATE);
        }
        for (RequestId id : mUnclaimed) {
            assertThat(remaining.claim(id, "x", mNow)).isEqualTo(ClaimResult.GRANTED);
        }
    }

    /**
     * Guards against ids that become unknown by a join, are run again after it, or are granted by
     * both owners.
     */
    @Example
    void aJoinMakesNoIdUnknown() {
        Set<String> members = Set.of("d0", "d1");
        RequestClaims before = settled("d0", "d0");
        claimHalf(before);
        RequestClaims joiner = new RequestClaims("d1");
        joiner.onMembersAdopted(1, Set.of("d0"));
        joiner.onMembersAdopted(2, members);
        before.onMembersAdopted(2, members);
        for (RequestId id : mUnclaimed) {
            if (isOwner(id, "d1", members)) {
                assertThat(joiner.claim(id, "x", mNow)).isEqualTo(ClaimResult.NOT_OWNER);
                assertThat(before.claim(id, "x", mNow)).isEqualTo(ClaimResult.NOT_OWNER);
            }
        }
        joiner.receive("d0", before.joinHandovers(mNow, Set.of()).get("d1"));
        for (RequestId id : mGranted) {
            RequestClaims owner = isOwner(id, "d1", members) ? joiner : before;
            assertThat(owner.claim(id, "x", mNow)).isEqualTo(ClaimResult.DUPLICATE);
        }
        for (RequestId id : mUnclaimed) {
            RequestClaims owner = isOwner(id, "d1", members) ? joiner : before;
            assertThat(owner.claim(id, "x", mNow)).isEqualTo(ClaimResult.GRANTED);
        }
    }

    /** Guards against a handover that is not repeated after a lost message, or repeated forever. */
    @Example
    void recordsAreSentUntilTheyAreConfirmed() {
        RequestClaims before = settled("d0", "d0");
        before.onMembersAdopted(2, Set.of("d0", "d1"));
        assertThat(before.joinHandovers(mNow, Set.of())).containsKey("d1");
        assertThat(before.joinHandovers(mNow, Set.of("d1"))).isEmpty();
        assertThat(before.joinHandovers(mNow + 1_000, Set.of())).containsKey("d1");
        before.onHandedOver("d1");
        assertThat(before.joinHandovers(mNow + 2_000, Set.of())).isEmpty();
    }

    /** Guards against ids of a crashed owner that are granted again. */
    @Example
    void idsOfACrashedOwnerAreUnknownUntilTheTakeoverMarginHasPassed() {
        RequestClaims remaining = settled("d1", "d0", "d1");
        remaining.onMembersAdopted(2, Set.of("d1"));
        remaining.onMembersAccepted(2, mNow);
        Set<String> before = Set.of("d0", "d1");
        Set<ClaimResult> results = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            RequestId id = RequestId.generate(mNow, mRandom);
            if (isOwner(id, "d0", before)) {
                results.add(remaining.claim(id, "x", mNow));
            }
        }
        assertThat(results).containsExactly(ClaimResult.UNKNOWN);
        mNow += RequestClaims.TAKEOVER_MARGIN_MILLIS;
        RequestId later = RequestId.generate(mNow, mRandom);
        assertThat(remaining.claim(later, "x", mNow)).isEqualTo(ClaimResult.GRANTED);
    }

    /** Guards against trust in records that were divided for a set that was never accepted. */
    @Example
    void aHandoverForAnotherMemberSetIsNotComplete() {
        RequestClaims leaving = settled("d0", "d0", "d1", "d2");
        RequestClaims remaining = settled("d1", "d0", "d1", "d2");
        claimHalf(leaving);
        remaining.receive("d0", leaving.handOverAll(mNow).get("d1"));
        remaining.onMembersAdopted(2, Set.of("d0", "d1"));
        remaining.onMembersAdopted(3, Set.of("d1"));
        remaining.onMembersAccepted(3, mNow);
        for (RequestId id : mGranted) {
            assertThat(remaining.claim(id, "x", mNow)).isNotEqualTo(ClaimResult.GRANTED);
        }
    }

    /** Guards against a claim that an owner with a slower clock grants after it was forgotten. */
    @Example
    void aForgottenClaimIsNotGrantedByAnOwnerWithASlowerClock() {
        RequestClaims leaving = settled("d0", "d0", "d1");
        RequestClaims remaining = settled("d1", "d0", "d1");
        leaving.onMembersAccepted(1, START);
        claimHalf(leaving);
        mNow += RequestId.CLAIM_RETENTION_MILLIS + 1;
        remaining.receive("d0", leaving.handOverAll(mNow).get("d1"));
        remaining.onMembersAdopted(2, Set.of("d1"));
        remaining.onMembersAccepted(2, mNow - 1_000);
        for (RequestId id : mGranted) {
            assertThat(remaining.claim(id, "x", mNow - 1_000)).isNotEqualTo(ClaimResult.GRANTED);
        }
    }

    /** Guards against a release by a daemon that does not hold the claim. */
    @Example
    void onlyTheClaimantReleases() {
        RequestClaims table = settled("d0", "d0");
        RequestId id = RequestId.generate(mNow, new Random(1));
        assertThat(table.claim(id, "a", mNow)).isEqualTo(ClaimResult.GRANTED);
        table.release(id, "b");
        assertThat(table.claim(id, "b", mNow)).isEqualTo(ClaimResult.DUPLICATE);
        table.release(id, "a");
        assertThat(table.claim(id, "b", mNow)).isEqualTo(ClaimResult.GRANTED);
    }

    /** Guards against ids of another version or with a time outside the window. */
    @Example
    void checksVersionAndTimeOfIds() {
        assertThat(RequestId.parse("a", mNow).isLeft()).isTrue();
        assertThat(RequestId.parse("5e2c9f0e-3b44-4c1c-9a4b-0c9b5f3f7f10", mNow).isLeft()).isTrue();
        assertThat(parse(mNow + 2_000).isRight()).isTrue();
        assertThat(parse(mNow + 2_001).getLeft().mayHaveRun()).isTrue();
        assertThat(parse(mNow + 4_001).getLeft().mayHaveRun()).isFalse();
        assertThat(parse(mNow - 600_000).isRight()).isTrue();
        assertThat(parse(mNow - 600_001).getLeft().mayHaveRun()).isTrue();
    }

    private io.vavr.control.Either<RequestId.InvalidId, RequestId> parse(long timeMillis) {
        return RequestId.parse(RequestId.generate(timeMillis, new Random(3)).toString(), mNow);
    }
}
