package org.marigoldturn.scheduling;

/** Response of a target to a start order. */
public enum StartOutcome {
    ACCEPTED(Effect.RUNS, 0),
    /** The target has seen a higher fencing token: another owner has taken over. */
    FENCED(Effect.NOT_RUN, 0),
    /** The target has rejected the order, since it has responded to a later contact meanwhile. */
    SUPERSEDED(Effect.NOT_RUN, 0),
    /** A run of the task with this or a higher number was stopped or has ended there. */
    OUTDATED_RUN(Effect.NOT_RUN, 0),
    /** The lease sent with the order had expired when the order arrived. */
    LATE(Effect.NOT_RUN, 100),
    NO_ROOM(Effect.NOT_RUN, 200),
    INVALID_TICKET(Effect.NOT_RUN, 0),
    /** The target cannot read the order. */
    INVALID(Effect.NOT_RUN, 1_000),
    /** The target is not healthy and did not act on the order. */
    UNHEALTHY(Effect.NOT_RUN, 1_000),
    /** Another incarnation responded at the address. */
    OTHER_INSTANCE(Effect.NOT_RUN, 1_000),
    /** The order waited behind others and was not sent, since it may not be any more. */
    NOT_SENT(Effect.NOT_RUN, 500),
    /** There was no response; the run may have started or may start later. */
    UNKNOWN(Effect.UNKNOWN, 500);

    /** What is known of the run after the response. */
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

    /** Returns for how long no further task starts on the target. */
    long pauseMillis() {
        return mPauseMillis;
    }
}
