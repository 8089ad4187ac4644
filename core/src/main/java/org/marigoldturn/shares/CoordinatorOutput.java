package org.marigoldturn.shares;

import java.util.List;
import java.util.Set;
import org.marigoldturn.peer.wire.Entitlements;
import org.marigoldturn.peer.wire.TransferHint;

/**
 * Messages and findings of a coordinator. Receivers are member ids, possibly that of this daemon.
 *
 * @param entitlements entitlements of daemons that have changed or are repeated
 * @param hints requests to daemons that hold more rights than they need to transfer some
 * @param poolsToReassign pools whose slots need a new division, see {@link SlotAudit}
 */
public record CoordinatorOutput(
        List<AddressedEntitlements> entitlements,
        List<AddressedHint> hints,
        Set<String> poolsToReassign) {
    /** Entitlements of one daemon. */
    public record AddressedEntitlements(String receiver, Entitlements entitlements) {}

    /** Hint to the daemon that is the source of a transfer. */
    public record AddressedHint(String receiver, TransferHint hint) {}

    public CoordinatorOutput {
        entitlements = List.copyOf(entitlements);
        hints = List.copyOf(hints);
        poolsToReassign = Set.copyOf(poolsToReassign);
    }
}
