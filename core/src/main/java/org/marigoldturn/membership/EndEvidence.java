package org.marigoldturn.membership;

/**
 * Evidence by which the process of a member is considered ended. Elapsed time is never evidence.
 */
public enum EndEvidence {
    /**
     * The last message of the member, sent after it had stopped starting work and all its work had
     * ended.
     */
    FAREWELL(true),

    /**
     * Connections to its peer address are refused. Not conclusive, since a fault of this daemon's
     * own network can refuse connections to live members.
     */
    CONNECTION_REFUSED(false),

    /** Another daemon that knows the shared token listens at its peer address. */
    ADDRESS_TAKEN(true),

    /** The host list reports that its host has ended. Not recorded by any code at present. */
    HOST_LIST(true),

    /** An operator stated it with {@code daemon forget}. */
    OPERATOR(true);

    private final boolean mConclusive;

    EndEvidence(boolean conclusive) {
        mConclusive = conclusive;
    }

    /**
     * Returns whether the evidence suffices by itself; other evidence needs replies from a majority
     * of the members.
     *
     * <p>A member that has ended by conclusive evidence counts as holding every version, since an
     * ended process cannot serve by an older one. Otherwise a fleet that has lost a majority of its
     * members could never change its member set again.
     */
    public boolean isConclusive() {
        return mConclusive;
    }
}
