package org.marigoldturn.scheduling;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/** Delivers calls to targets; it loses, delays and reorders them. */
final class SimulatedNetwork {
    private static final int RESPONSE_TIMEOUT_MILLIS = 1_200;

    /** The platform carries out a call without a response at most this much later. */
    private static final int MAX_LATE_MILLIS = 12_000;

    private final ScheduleSimulation mSimulation;
    private final Random mRandom;
    private final Random mDelayRandom;
    private final boolean mReachesLaterIncarnations;
    private final Map<String, SimulatedTarget> mTargets;
    private final IncarnationLimits mLimits;
    private final Set<String> mUnreachable = new HashSet<>();

    /**
     * Creates a network without faults.
     *
     * @param targets view of the targets by id
     * @param reachesLaterIncarnations whether calls can be carried out by a later incarnation
     */
    SimulatedNetwork(
            ScheduleSimulation simulation,
            Random random,
            Random delayRandom,
            Map<String, SimulatedTarget> targets,
            boolean reachesLaterIncarnations,
            IncarnationLimits limits) {
        mSimulation = simulation;
        mRandom = random;
        mDelayRandom = delayRandom;
        mTargets = targets;
        mReachesLaterIncarnations = reachesLaterIncarnations;
        mLimits = limits;
    }

    /** Cuts a target off from all owners. */
    void cutOff(String targetId) {
        mUnreachable.add(targetId);
    }

    /** Cuts a target off from the owner of a term. */
    void cutOff(long term, String targetId) {
        mUnreachable.add(term + "/" + targetId);
    }

    /** Cuts targets off from the owner of a term. */
    void cutOff(long term, Collection<String> targetIds) {
        targetIds.forEach(id -> cutOff(term, id));
    }

    void restore(String targetId) {
        mUnreachable.remove(targetId);
    }

    void restore(long term, String targetId) {
        mUnreachable.remove(term + "/" + targetId);
    }

    void restoreAll() {
        mUnreachable.clear();
    }

    /**
     * Delivers a call to a target and returns its response to the caller.
     *
     * @param onResponse receives the response, or null if there is none
     */
    <T> void call(SimulatedCall<T> call, boolean faults, Consumer<T> onResponse) {
        int requestMillis = 1 + mRandom.nextInt(20);
        boolean lost = faults && mRandom.nextInt(100) < 4;
        boolean late = lost && mRandom.nextBoolean();
        boolean unreachable = isUnreachable(call);
        if (late && !unreachable) {
            mSimulation.after(1 + mRandom.nextInt(MAX_LATE_MILLIS), () -> carryOut(call));
        }
        if (unreachable || lost) {
            if (unreachable) {
                delay(call, faults);
            }
            mSimulation.after(RESPONSE_TIMEOUT_MILLIS, () -> onResponse.accept(null));
            return;
        }
        boolean responseLost = faults && mRandom.nextInt(100) < 3;
        mSimulation.after(
                requestMillis,
                () -> {
                    boolean up = mTargets.get(call.targetId()).isUp();
                    T response = carryOut(call);
                    boolean noResponse = response == null || responseLost || isUnreachable(call);
                    int responseMillis =
                            noResponse ? RESPONSE_TIMEOUT_MILLIS : 1 + mRandom.nextInt(20);
                    // A start is carried out once; a poll can be repeated.
                    if (!up || noResponse && call.start() == null) {
                        delay(call, faults);
                    }
                    mSimulation.after(
                            responseMillis, () -> onResponse.accept(noResponse ? null : response));
                });
    }

    /** Carries out a call later that has no response, if calls can reach later incarnations. */
    private void delay(SimulatedCall<?> call, boolean faults) {
        if (mReachesLaterIncarnations && faults && mDelayRandom.nextBoolean()) {
            int maxMillis = mDelayRandom.nextBoolean() ? MAX_LATE_MILLIS : MAX_LATE_MILLIS / 4;
            mSimulation.after(1 + mDelayRandom.nextInt(maxMillis), () -> carryOut(call));
        }
    }

    private boolean isUnreachable(SimulatedCall<?> call) {
        return mUnreachable.contains(call.targetId())
                || mUnreachable.contains(call.term() + "/" + call.targetId());
    }

    private <T> T carryOut(SimulatedCall<T> call) {
        SimulatedTarget target = mTargets.get(call.targetId());
        if (!target.isUp()) {
            return null;
        }
        boolean misdirected = target.startedMillis() != call.startedMillis();
        if (misdirected && (!mReachesLaterIncarnations || mLimits.excludes(call, target))) {
            return null;
        }
        T response = call.action().apply(target);
        if (call.start() != null) {
            mLimits.onStartArrived(call, target);
        }
        return response;
    }
}
