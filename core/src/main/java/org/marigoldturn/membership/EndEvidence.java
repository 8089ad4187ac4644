package org.marigoldturn.membership;

/** Why the process of a member is taken as ended. Elapsed time is never evidence. */
public enum EndEvidence {
    /** Its last message, sent after it had stopped starting work and all its work had ended. */
    FAREWELL(true),

    /**
     * Nothing listens at its peer address. Not conclusive, since a fault of this daemon's own
     * network can refuse connections to live members.
     */
    CONNECTION_REFUSED(false),

    /** Another daemon that knows the shared token listens at its peer address. */
    ADDRESS_TAKEN(true),

    /** The host list reports that its host has ended. */
    HOST_LIST(true),

    /** An operator stated it with {@code daemon forget}. */
    OPERATOR(true);

    private final boolean mConclusive;

    EndEvidence(boolean conclusive) {
        mConclusive = conclusive;
    }

    /**
     * Returns whether the evidence needs no agreement of others.
     *
     * <p>A conclusively ended member counts as holding every version: it confirms nothing any more.
     * Without this a fleet that lost a majority could never change its member set again.
     */
    public boolean isConclusive() {
        return mConclusive;
    }
}
