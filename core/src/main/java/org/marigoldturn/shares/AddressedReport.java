package org.marigoldturn.shares;

import org.marigoldturn.peer.wire.DemandReport;

/**
 * A demand report to be sent to the coordinator of its resource.
 *
 * @param receiver member id of the coordinator, possibly that of this daemon
 */
public record AddressedReport(String receiver, DemandReport report) {}
