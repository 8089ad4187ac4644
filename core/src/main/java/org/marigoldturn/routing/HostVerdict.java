package org.marigoldturn.routing;

/** What the recent outcomes of a host allow. */
public enum HostVerdict {
    /** The host takes work. */
    USABLE,
    /** The host was ejected and takes no work. */
    EJECTED,
    /** The ejection is over; one idempotent request may try the host. */
    TRIAL_DUE
}
