package org.marigoldturn.routing;

/** Use of a host that its recent outcomes allow. */
public enum HostVerdict {
    /** The host accepts requests. */
    USABLE,
    /** The host is ejected or suspect, and no trial is due; it gets no requests. */
    EJECTED,
    /**
     * The time out of use is over; one request, at first only an idempotent one, may be the trial.
     */
    TRIAL_DUE
}
