package org.marigoldturn.settings;

/** Planned life cycle state of a host. */
public enum HostState {
    /** The host takes work. */
    IN_SERVICE(true),
    /** Running work ends; no new work starts. */
    DRAINING(false),
    /** The host is being maintained or rebooted. */
    MAINTENANCE(false),
    /** Maintenance has ended; the host is checked before it takes work. */
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
