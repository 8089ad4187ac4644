package org.marigoldturn.routing;

/**
 * What one daemon tells the others about the health of a host. Immutable.
 *
 * @param ejected whether the daemon has ejected the host by the outcomes of its own requests
 * @param requests outcomes that the daemon has seen in 10 s, for an ejected host those before the
 *     ejection; the weight of the report
 */
public record HostHealthReport(String host, boolean ejected, int requests) {
    public HostHealthReport {
        if (requests < 0) {
            throw new IllegalArgumentException(
                    "requests of host \"" + host + "\" must not be negative, not " + requests);
        }
    }
}
