package org.marigoldturn.shares;

import org.marigoldturn.peer.wire.DemandReport;

/**
 * A demand report and the member that coordinates its resource.
 *
 * @param receiver member id, possibly of this daemon
 */
public record AddressedReport(String receiver, DemandReport report) {}
