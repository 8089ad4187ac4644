package org.marigoldturn.store;

import java.util.List;

/**
 * An atomic transaction: executes {@code onSuccess} if all compares hold, else {@code onFailure}.
 */
public record Transaction(
        List<Compare> compares, List<Operation> onSuccess, List<Operation> onFailure) {
    public Transaction {
        compares = List.copyOf(compares);
        onSuccess = List.copyOf(onSuccess);
        onFailure = List.copyOf(onFailure);
    }

    /** Returns a transaction without conditions. */
    public static Transaction unconditional(List<Operation> operations) {
        return new Transaction(List.of(), operations, List.of());
    }
}
