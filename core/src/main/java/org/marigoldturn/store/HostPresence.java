package org.marigoldturn.store;

/** State of a host in the platform's list. */
public enum HostPresence {
    /** The host runs. */
    LIVE,
    /** The host ends soon and must get no new work. */
    LEAVING,
    /** The host has ended; nothing runs on it. */
    ENDED
}
