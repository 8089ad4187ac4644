package org.marigoldturn.rights;

import java.util.Objects;
import org.marigoldturn.peer.wire.RightsTotals;

/**
 * Cumulative totals to be sent to one member.
 *
 * @param receiver member id
 * @param totals totals of all rights transferred to the receiver, by resource
 */
public record AddressedTotals(String receiver, RightsTotals totals) {
    public AddressedTotals {
        Objects.requireNonNull(receiver, "receiver");
        Objects.requireNonNull(totals, "totals");
    }
}
