package org.marigoldturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Owners of request ids over generated sequences of joins, leaves, crashes and claims. */
class RequestClaimsTest {
    private static final long START = 1_700_000_000_000L;

    private final Map<String, RequestClaims> mTables = new HashMap<>();
    private final List<String> mMembers = new ArrayList<>();
    private final Set<RequestId> mGranted = new HashSet<>();
    private final List<RequestId> mIds = new ArrayList<>();
    private long mNow = START;
    private int mNextMember;

    /** Guards against an id that is granted twice across changes of its owner. */
    @Property(tries = 300, seed = "4041")
    void noIdIsGrantedTwice(@ForAll long seed) {
        RequestClaimsTest test = new RequestClaimsTest();
        Random random = new Random(seed);
        test.join();
        for (int step = 0; step < 300; step++) {
            test.step(random);
        }
    }

    private void step(Random random) {
        mNow += random.nextInt(20) == 0 ? random.nextInt(100_000) : random.nextInt(1_500);
        switch (random.nextInt(12)) {
            case 0 -> join();
            case 1 -> leave(random);
            case 2 -> crash(random);
            case 3 -> release(random);
            case 4, 5, 6 -> claimNew(random);
            default -> claimAgain(random);
        }
    }

    private void join() {
        String id = "d" + mNextMember++;
        mMembers.add(id);
        mTables.put(id, new RequestClaims(id));
        accept();
    }

    /** The handover arrives before or after the acceptance at the receivers, or is lost. */
    private void leave(Random random) {
        if (mMembers.size() < 2) {
            return;
        }
        String leaving = mMembers.remove(random.nextInt(mMembers.size()));
        Map<String, ClaimHandoverData> handovers = mTables.get(leaving).handOver(mMembers, mNow);
        // A further change between the handover and its acceptance makes it invalid.
        if (random.nextInt(4) == 0) {
            join();
        }
        int mode = random.nextInt(3);
        if (mode == 0) {
            handovers.forEach((owner, data) -> mTables.get(owner).receive(leaving, data));
        }
        accept();
        if (mode == 1) {
            mNow += random.nextInt(3_000);
            handovers.forEach((owner, data) -> mTables.get(owner).receive(leaving, data));
        }
    }

    private void crash(Random random) {
        if (mMembers.size() > 1) {
            mMembers.remove(random.nextInt(mMembers.size()));
            accept();
        }
    }

    private void accept() {
        mMembers.forEach(m -> mTables.get(m).onMembersAccepted(mMembers, mNow));
    }

    private void claimNew(Random random) {
        long skew = random.nextLong(4_001) - 2_000;
        RequestId id = RequestId.generate(mNow + skew, random);
        mIds.add(id);
        claim(id);
    }

    private void claimAgain(Random random) {
        if (!mIds.isEmpty()) {
            claim(mIds.get(random.nextInt(mIds.size())));
        }
    }

    private void claim(RequestId id) {
        if (RequestId.parse(id.toString(), mNow).isLeft()) {
            return;
        }
        String owner = RequestClaims.owner(id, mMembers).orElseThrow();
        if (mTables.get(owner).claim(id, "claimant", mNow) == ClaimResult.GRANTED) {
            assertThat(mGranted.add(id)).as("id %s granted once", id).isTrue();
        }
    }

    private void release(Random random) {
        List<RequestId> granted = new ArrayList<>(mGranted);
        if (granted.isEmpty()) {
            return;
        }
        RequestId id = granted.get(random.nextInt(granted.size()));
        String owner = RequestClaims.owner(id, mMembers).orElseThrow();
        int before = mTables.get(owner).size();
        mTables.get(owner).release(id, "claimant");
        if (mTables.get(owner).size() < before) {
            mGranted.remove(id);
        }
    }

    /** Guards against ids that become unknown by a planned leave. */
    @Example
    void aPlannedLeaveMakesNoIdUnknown() {
        join();
        join();
        mNow += 60_000;
        Random random = new Random(7);
        List<RequestId> unclaimed = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            claimNew(random);
            unclaimed.add(RequestId.generate(mNow, random));
        }
        String leaving = mMembers.remove(0);
        mTables.get(leaving)
                .handOver(mMembers, mNow)
                .forEach((owner, data) -> mTables.get(owner).receive(leaving, data));
        accept();
        RequestClaims remaining = mTables.get(mMembers.get(0));
        for (RequestId id : mGranted) {
            assertThat(remaining.claim(id, "x", mNow)).isEqualTo(ClaimResult.DUPLICATE);
        }
        for (RequestId id : unclaimed) {
            assertThat(remaining.claim(id, "x", mNow)).isEqualTo(ClaimResult.GRANTED);
        }
    }

    /** Guards against records that were divided for a member set which was never accepted. */
    @Example
    void aHandoverForAnotherMemberSetIsNotComplete() {
        join();
        join();
        join();
        mNow += 60_000;
        Random random = new Random(9);
        for (int i = 0; i < 300; i++) {
            claimNew(random);
        }
        mMembers.remove("d0");
        mTables.get("d0")
                .handOver(mMembers, mNow)
                .forEach((owner, data) -> mTables.get(owner).receive("d0", data));
        mMembers.remove("d2");
        accept();
        for (RequestId id : mGranted) {
            assertThat(mTables.get("d1").claim(id, "x", mNow)).isNotEqualTo(ClaimResult.GRANTED);
        }
    }

    /** Guards against a release by a daemon that does not hold the claim. */
    @Example
    void onlyTheClaimantReleases() {
        join();
        mNow += 10_000;
        RequestId id = RequestId.generate(mNow, new Random(1));
        RequestClaims table = mTables.get("d0");
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
