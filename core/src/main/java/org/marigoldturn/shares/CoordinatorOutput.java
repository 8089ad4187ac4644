package org.marigoldturn.shares;

import java.util.List;
import java.util.Set;
import org.marigoldturn.peer.wire.Entitlements;
import org.marigoldturn.peer.wire.TransferHint;

/**
 * Messages of a coordinator; receivers are member ids, possibly of this daemon.
 *
 * @param entitlements entitlements by daemon
 * @param hints hints to daemons that hold more than they need
 * @param lostPools pools whose slots must be divided anew, see {@link SlotAudit}
 */
public record CoordinatorOutput(
        List<AddressedEntitlements> entitlements,
        List<AddressedHint> hints,
        Set<String> lostPools) {
    /** Entitlements of one daemon. */
    public record AddressedEntitlements(String receiver, Entitlements entitlements) {}

    /** Hint to the giver of rights. */
    public record AddressedHint(String receiver, TransferHint hint) {}

    public CoordinatorOutput {
        entitlements = List.copyOf(entitlements);
        hints = List.copyOf(hints);
        lostPools = Set.copyOf(lostPools);
    }
}
