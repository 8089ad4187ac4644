package org.marigoldturn.scheduling;

/**
 * Decides whether a task that has room elsewhere waits for room at its preferred placement.
 *
 * <p>It addresses loads in which racks with the data of many tasks are full while others have room.
 * Running away from the data costs time; waiting costs time too, and takes the room from tasks that
 * come later if the rack is in demand all the time. A task waits only while the expected wait is
 * shorter than the gain, and in all for no longer than the gain, so that a wrong forecast at most
 * doubles the loss. Stateless.
 */
final class PlacementWait {
    /**
     * Bounds the time for which a task that has room elsewhere has no run. It leaves 300 ms of the
     * 1.5 s that are allowed for delayed scheduling passes and for differences of clocks.
     */
    static final long LONGEST_MILLIS = 1_200;

    /** Bounds the gain in relation to the additional time of a run elsewhere. */
    static final double MAX_GAIN = 1;

    private PlacementWait() {}

    /** Chooses between a wait and a start; tests compare others with {@link #decide}. */
    @FunctionalInterface
    interface Rule {
        Decision decide(Situation situation);
    }

    /**
     * What is known of a task that fits only away from its preferred placement.
     *
     * @param nowMillis monotonic time
     * @param sinceMillis monotonic time since which the task could have started elsewhere, at the
     *     latest
     * @param expectedMillis expected duration of its run at the preferred placement
     * @param farFactor how many times as long it runs elsewhere
     * @param load recent demand for the preferred rack as a part of its capacity
     * @param loadElsewhere recent demand for the other racks as a part of theirs
     * @param roomMillis monotonic time at which room is expected at the preferred placement, after
     *     all tasks that wait for it before this one; {@link Long#MAX_VALUE} if none is expected
     * @param objectiveMillis monotonic time by which the run must end for its job to meet its
     *     objective; {@link Long#MAX_VALUE} if the job has none
     */
    record Situation(
            long nowMillis,
            long sinceMillis,
            long expectedMillis,
            double farFactor,
            double load,
            double loadElsewhere,
            long roomMillis,
            long objectiveMillis) {
        /** Returns by how much longer the run takes elsewhere. */
        long extraMillis() {
            return Math.round(expectedMillis * (farFactor - 1));
        }

        /**
         * Returns the gain of a wait for all tasks. Room that another task would use at once is
         * only taken from that one, so the gain falls with the load of the rack. A longer run
         * elsewhere takes room from tasks that prefer it, so the gain rises with the load there.
         */
        long gainMillis() {
            double part = Math.max(0, 1 - load) + loadElsewhere;
            return Math.round(extraMillis() * Math.min(MAX_GAIN, part));
        }
    }

    /** Why a task waits or starts. */
    enum Reason {
        ROOM_EXPECTED,
        NO_ROOM_EXPECTED,
        EXCEEDS_GAIN,
        EXCEEDS_BOUND,
        ENDANGERS_OBJECTIVE;

        private Decision start() {
            return new Decision(false, Long.MIN_VALUE, this);
        }
    }

    /**
     * A decision.
     *
     * @param waits whether the task waits; it starts elsewhere otherwise
     * @param untilMillis monotonic time at which a wait ends at the latest
     */
    record Decision(boolean waits, long untilMillis, Reason reason) {}

    /** Decides on a task. */
    static Decision decide(Situation situation) {
        long nowMillis = situation.nowMillis();
        long roomMillis = situation.roomMillis();
        if (roomMillis == Long.MAX_VALUE) {
            return Reason.NO_ROOM_EXPECTED.start();
        }
        if (roomMillis - nowMillis >= situation.gainMillis()) {
            return Reason.EXCEEDS_GAIN.start();
        }
        long longestMillis = Math.min(LONGEST_MILLIS, situation.gainMillis());
        long boundMillis = situation.sinceMillis() + longestMillis;
        if (nowMillis >= boundMillis || roomMillis > boundMillis) {
            return Reason.EXCEEDS_BOUND.start();
        }
        long latestMillis = latestStartMillis(situation);
        if (nowMillis >= latestMillis || roomMillis > latestMillis) {
            return Reason.ENDANGERS_OBJECTIVE.start();
        }
        return new Decision(true, Math.min(boundMillis, latestMillis), Reason.ROOM_EXPECTED);
    }

    /** Returns until when a run at the preferred placement meets the objective. */
    private static long latestStartMillis(Situation situation) {
        return situation.objectiveMillis() == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : situation.objectiveMillis() - situation.expectedMillis();
    }
}
