package org.marigoldturn.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Compares the queue with a model: a list that is sorted by the same rules. */
class PoolQueueTest {
    private static final int LOCAL_SLOTS = 8;
    private static final int CAPACITY = 20;
    private static final long SECOND = 1_000_000_000L;
    private static final int[] WEIGHTS = {1, 2, 5, 1};
    private static final int[] LIMITS = {3, 100, 2, 4};

    private final FakeRights mRights = new FakeRights();
    private final Map<String, Integer> mEntitlements = new HashMap<>();
    private final PoolQueue<Integer> mQueue =
            new PoolQueue<>(
                    "desk",
                    mRights,
                    (pool, team) ->
                            mEntitlements.containsKey(team)
                                    ? OptionalInt.of(mEntitlements.get(team))
                                    : OptionalInt.empty());
    private final List<QueuedRequest<Integer>> mWaiting = new ArrayList<>();
    private final List<QueuedRequest<Integer>> mRunning = new ArrayList<>();
    private final List<Boolean> mRunningUrgent = new ArrayList<>();
    private long mNowNanos;
    private int mNextNumber;

    /** Guards against an order, limit, expiry or count that differs from the model. */
    @Property(tries = 300, seed = "4021")
    void behavesLikeASortedList(
            @ForAll long seed, @ForAll boolean entitled, @ForAll boolean partly) {
        PoolQueueTest test = new PoolQueueTest();
        test.run(new Random(seed), entitled, partly);
    }

    private void run(Random random, boolean entitled, boolean partly) {
        for (int team = 0; team < WEIGHTS.length; team++) {
            mRights.with("team:t" + team, LIMITS[team]);
            if (entitled && !(partly && team == 1)) {
                mEntitlements.put("t" + team, team);
            }
        }
        for (int step = 0; step < 200; step++) {
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> offer(random);
                case 3, 4 -> next(random.nextBoolean());
                case 5 -> cancel(random);
                case 6 -> end(random);
                default -> expire(random);
            }
            checkDemand();
        }
    }

    private void offer(Random random) {
        int team = random.nextInt(WEIGHTS.length);
        TeamAdmissionRules rules = new TeamAdmissionRules("t" + team, WEIGHTS[team], true);
        ResourceNeeds needs = new ResourceNeeds(random.nextInt(2), 0, 0);
        long expires = mNowNanos + (1 + random.nextInt(20)) * SECOND;
        QueuedRequest<Integer> request =
                new QueuedRequest<>(
                        rules, random.nextInt(4) == 0, false, needs, expires, mNextNumber++);
        boolean full = mWaiting.stream().filter(r -> r.rules().equals(rules)).count() >= CAPACITY;
        assertThat(mQueue.offer(request, CAPACITY, mNowNanos).isLeft()).isEqualTo(full);
        if (!full) {
            mWaiting.add(request);
        }
    }

    private void next(boolean smallOnly) {
        long urgentRunning = mRunningUrgent.stream().filter(u -> u).count();
        boolean urgentFirst = urgentRunning < LOCAL_SLOTS / 4;
        Comparator<QueuedRequest<Integer>> order =
                Comparator.comparing((QueuedRequest<Integer> r) -> !(urgentFirst && r.urgent()))
                        .thenComparingDouble(this::ratio)
                        .thenComparingInt(QueuedRequest::attachment);
        Optional<QueuedRequest<Integer>> expected =
                mWaiting.stream()
                        .filter(r -> !smallOnly || r.needs().cores() == 0)
                        .filter(r -> mRights.free("team:" + r.rules().team()) > 0)
                        .min(order);
        Optional<QueuedRequest<Integer>> actual =
                mQueue.next(LOCAL_SLOTS, r -> !smallOnly || r.needs().cores() == 0);
        assertThat(actual.map(QueuedRequest::attachment))
                .isEqualTo(expected.map(QueuedRequest::attachment));
        actual.ifPresent(
                request -> {
                    assertThat(mQueue.start(request)).isTrue();
                    mWaiting.remove(request);
                    mRunning.add(request);
                    mRunningUrgent.add(urgentFirst && request.urgent());
                });
    }

    private double ratio(QueuedRequest<Integer> request) {
        String team = request.rules().team();
        double entitled = request.rules().weight() * slotsPerWeight();
        if (mEntitlements.containsKey(team)) {
            entitled = mEntitlements.get(team);
        }
        long running = mRunning.stream().filter(r -> r.rules().team().equals(team)).count();
        return entitled == 0 ? Double.POSITIVE_INFINITY : running / entitled;
    }

    private double slotsPerWeight() {
        List<QueuedRequest<Integer>> active = new ArrayList<>(mWaiting);
        active.addAll(mRunning);
        List<TeamAdmissionRules> known =
                active.stream()
                        .map(QueuedRequest::rules)
                        .distinct()
                        .filter(t -> mEntitlements.containsKey(t.team()))
                        .toList();
        int slots = known.stream().mapToInt(t -> mEntitlements.get(t.team())).sum();
        int weights = known.stream().mapToInt(TeamAdmissionRules::weight).sum();
        return slots == 0 ? 1.0 : (double) slots / weights;
    }

    private void cancel(Random random) {
        if (!mWaiting.isEmpty()) {
            QueuedRequest<Integer> request = mWaiting.remove(random.nextInt(mWaiting.size()));
            assertThat(mQueue.cancel(request)).isTrue();
            assertThat(mQueue.cancel(request)).isFalse();
        }
    }

    private void end(Random random) {
        if (!mRunning.isEmpty()) {
            int index = random.nextInt(mRunning.size());
            mRunningUrgent.remove(index);
            mQueue.onEnded(mRunning.remove(index));
        }
    }

    private void expire(Random random) {
        mNowNanos += random.nextInt(3) * SECOND + PoolQueue.EXPIRY_STEP_NANOS;
        List<QueuedRequest<Integer>> expected =
                mWaiting.stream()
                        .filter(r -> r.expiresNanos() + PoolQueue.EXPIRY_STEP_NANOS <= mNowNanos)
                        .toList();
        assertThat(mQueue.expire(mNowNanos)).containsExactlyInAnyOrderElementsOf(expected);
        mWaiting.removeAll(expected);
    }

    private void checkDemand() {
        assertThat(mQueue.queued()).isEqualTo(mWaiting.size());
        mQueue.demand()
                .forEach(
                        (team, demand) -> {
                            assertThat(demand.queued()).isEqualTo(count(mWaiting, team));
                            assertThat(demand.running()).isEqualTo(count(mRunning, team));
                        });
        assertThat(mQueue.demand().values().stream().mapToInt(d -> d.running()).sum())
                .isEqualTo(mRunning.size());
    }

    private static int count(List<QueuedRequest<Integer>> requests, String team) {
        return (int) requests.stream().filter(r -> r.rules().team().equals(team)).count();
    }

    /** Guards against cancelled requests that still occupy the queue, start or expire. */
    @Property(tries = 50, seed = "4022")
    void aBurstOfCancellationsEmptiesTheQueue(@ForAll @IntRange(min = 1, max = 2_000) int size) {
        PoolQueue<Integer> queue =
                new PoolQueue<>("desk", new FakeRights(), (p, t) -> OptionalInt.empty());
        for (int round = 0; round < 2; round++) {
            List<QueuedRequest<Integer>> burst = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                burst.add(request("t", false, ResourceNeeds.NONE, SECOND));
                assertThat(queue.offer(burst.get(i), size, 0).isRight()).isTrue();
            }
            burst.forEach(request -> assertThat(queue.cancel(request)).isTrue());
            assertThat(queue.next(LOCAL_SLOTS, r -> true)).isEmpty();
            assertThat(queue.demand()).isEmpty();
            assertThat(queue.expire(2 * SECOND)).isEmpty();
        }
    }

    /** Guards against a right that is lost when a request is cancelled during target selection. */
    @Example
    void aRequestCancelledDuringTargetSelectionReleasesItsRight() {
        FakeRights rights = new FakeRights().with("team:t", 1);
        PoolQueue<Integer> queue = new PoolQueue<>("desk", rights, (p, t) -> OptionalInt.empty());
        QueuedRequest<Integer> request = request("t", false, ResourceNeeds.NONE, SECOND);
        assertThat(queue.offer(request, 1, 0).isRight()).isTrue();
        assertThat(queue.next(LOCAL_SLOTS, r -> true)).contains(request);
        assertThat(queue.cancel(request)).isTrue();
        assertThat(queue.start(request)).isFalse();
        assertThat(rights.free("team:t")).isEqualTo(1);
    }

    /** Guards against an unbounded selection time due to many different needs. */
    @Example
    void rejectsTooManyDifferentNeeds() {
        for (int i = 0; i < TeamQueue.MAX_LANES; i++) {
            QueuedRequest<Integer> request =
                    request("t", false, new ResourceNeeds(i, 0, 0), SECOND);
            assertThat(mQueue.offer(request, 1_000, 0).isRight()).isTrue();
        }
        QueuedRequest<Integer> further = request("t", false, new ResourceNeeds(0, 0, 1), SECOND);
        assertThat(mQueue.offer(further, 1_000, 0).getLeft())
                .isEqualTo(AdmissionError.TOO_MANY_SIZES);
    }

    private static QueuedRequest<Integer> request(
            String team, boolean urgent, ResourceNeeds needs, long expires) {
        return new QueuedRequest<>(
                new TeamAdmissionRules(team, 1, true), urgent, false, needs, expires, 0);
    }
}
