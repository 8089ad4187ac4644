package org.marigoldturn.settings;

/** State of a host in its planned life cycle. */
public enum HostState {
    /** The host accepts work. */
    IN_SERVICE(true),
    /** Running work completes; no new work starts. */
    DRAINING(false),
    /** The host is being maintained or rebooted. */
    MAINTENANCE(false),
    /** The host is checked before it accepts work, after maintenance, a move or an ended drain. */
    RETURNING(false);

    private final boolean mAcceptsWork;

    HostState(boolean acceptsWork) {
        mAcceptsWork = acceptsWork;
    }

    /** Returns whether new work may start on the host. */
    public boolean acceptsWork() {
        return mAcceptsWork;
    }
}
