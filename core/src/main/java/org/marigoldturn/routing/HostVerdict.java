package org.marigoldturn.routing;

/** What the recent outcomes of a host allow. */
public enum HostVerdict {
    /** The host takes work. */
    USABLE,
    /** The host was ejected and takes no work. */
    EJECTED,
    /** The ejection is over; one request may try the host, at first only an idempotent one. */
    TRIAL_DUE
}
