package org.marigoldturn.store;

/** State of a host in the platform's list. */
public enum HostPresence {
    /** The host is running. */
    LIVE,
    /** The host will be shut down soon and must not receive new work. */
    LEAVING,
    /** The host is shut down; nothing runs on it. */
    ENDED
}
