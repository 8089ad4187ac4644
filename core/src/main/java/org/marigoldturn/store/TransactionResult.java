package org.marigoldturn.store;

import java.util.List;

/**
 * Result of a transaction.
 *
 * @param succeeded whether all compares held
 * @param revision store revision after the transaction
 * @param reads one list per read operation of the executed branch, in order
 */
public record TransactionResult(boolean succeeded, long revision, List<List<StoredValue>> reads) {
    public TransactionResult {
        reads = List.copyOf(reads);
    }
}
