package org.marigoldturn.rights;

import java.util.Objects;
import org.marigoldturn.peer.wire.RightsTotals;

/**
 * A message with cumulative transfer totals for one member.
 *
 * @param receiver member id
 * @param totals for each resource, the number of rights transferred to the receiver in the epoch so
 *     far; in an acknowledgement, the totals that the sender has applied
 */
public record AddressedTotals(String receiver, RightsTotals totals) {
    public AddressedTotals {
        Objects.requireNonNull(receiver, "receiver");
        Objects.requireNonNull(totals, "totals");
    }
}
