package org.marigoldturn.fleet;

/**
 * What is observed of a host that is not in service.
 *
 * @param drain evidence about work on the host
 * @param maintenanceDone whether the platform reports that the host has been maintained since it
 *     left service
 * @param healthy whether the host answers its checks
 */
public record HostObservation(DrainEvidence drain, boolean maintenanceDone, boolean healthy) {
    /** Nothing is known. */
    public static final HostObservation NONE =
            new HostObservation(DrainEvidence.NONE, false, false);
}
