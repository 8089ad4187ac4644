package org.marigoldturn.fleet;

/**
 * Observation of a host that is not in service.
 *
 * @param drain evidence about the work that runs on the host
 * @param maintenanceDone whether the host has been maintained since it left service, according to
 *     the host list
 * @param live whether the host is live, so that it can take work
 */
public record HostObservation(DrainEvidence drain, boolean maintenanceDone, boolean live) {
    /** Nothing is known. */
    public static final HostObservation NONE =
            new HostObservation(DrainEvidence.NONE, false, false);
}
