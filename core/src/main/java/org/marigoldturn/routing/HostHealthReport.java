package org.marigoldturn.routing;

/**
 * Report of one daemon to the others about the health of a host. Immutable.
 *
 * @param ejected whether the daemon has ejected the host by the outcomes of its own requests
 * @param requests number of outcomes of the daemon's requests in the last 10 s, for an ejected host
 *     in the 10 s before the ejection; the weight of the report
 */
public record HostHealthReport(String host, boolean ejected, int requests) {
    public HostHealthReport {
        if (requests < 0) {
            throw new IllegalArgumentException(
                    "requests of host \"" + host + "\" must not be negative, not " + requests);
        }
    }
}
