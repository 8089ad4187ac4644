package org.marigoldturn.scheduling;

/** Answer of a target to the order to start a run. */
public enum StartOutcome {
    ACCEPTED(Effect.RUNS, 0),
    /** The target has seen a higher token: another owner has taken over. */
    FENCED(Effect.NOT_RUN, 0),
    /** A run with this or a higher number was stopped or has ended there. */
    OUTDATED_RUN(Effect.NOT_RUN, 0),
    /** The lease sent with the order had ended on arrival. */
    LATE(Effect.NOT_RUN, 100),
    NO_ROOM(Effect.NOT_RUN, 200),
    INVALID_TICKET(Effect.NOT_RUN, 0),
    /** The target cannot read the order. */
    INVALID(Effect.NOT_RUN, 1_000),
    /** The target is not healthy and has done nothing. */
    UNHEALTHY(Effect.NOT_RUN, 1_000),
    /** Another life answered at the address. */
    OTHER_INSTANCE(Effect.NOT_RUN, 1_000),
    /** No answer; the run may start later. */
    UNKNOWN(Effect.UNKNOWN, 500);

    /** What is known of the run after the answer. */
    enum Effect {
        RUNS,
        NOT_RUN,
        UNKNOWN
    }

    private final Effect mEffect;
    private final long mPauseMillis;

    StartOutcome(Effect effect, long pauseMillis) {
        mEffect = effect;
        mPauseMillis = pauseMillis;
    }

    Effect effect() {
        return mEffect;
    }

    /** Returns for how long the target gets no further start. */
    long pauseMillis() {
        return mPauseMillis;
    }
}
