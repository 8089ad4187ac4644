package org.marigoldturn.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Port to the metadata store of the platform on which the daemons that schedule jobs run.
 *
 * <p>Unlike {@link KeyValueStore}, it watches prefixes through repeated calls and has no reads
 * within a transaction. Implementations are thread safe and never block. Futures complete
 * exceptionally with a {@link StoreException}: {@link StoreUnavailableException} if the call had no
 * effect, {@link StoreOutcomeUnknownException} if a write may have taken effect or may still do so.
 */
public interface MetadataStore {
    /** Reads one key. */
    CompletableFuture<Optional<StoredValue>> read(String key);

    /** Reads one page of the keys with a prefix that follow {@code afterKey}, in key order. */
    CompletableFuture<Page> list(String prefix, String afterKey);

    /**
     * Waits for changes after a revision.
     *
     * @param waitMillis time after which the call returns without a change
     * @return a future that fails with {@link StoreHistoryLostException} if the store no longer
     *     keeps all changes since the revision
     */
    CompletableFuture<Changes> watch(String prefix, long afterRevision, long waitMillis);

    /** Commits all writes if all conditions hold. */
    CompletableFuture<CommitResult> commit(
            List<Compare> conditions, List<Operation.Put> puts, List<Operation.Delete> deletes);

    /** Grants a lease that expires {@code ttlMillis} after its last renewal. */
    CompletableFuture<Long> grantLease(long ttlMillis);

    /** Renews a lease; fails with {@link LeaseExpiredException} if it has expired. */
    CompletableFuture<Void> keepLeaseAlive(long leaseId);

    /** Revokes a lease and deletes the keys attached to it. */
    CompletableFuture<Void> revokeLease(long leaseId);

    /**
     * A page of a listing.
     *
     * @param values the values
     * @param hasMore whether another page follows
     * @param revision store revision at the time of the read
     */
    record Page(List<StoredValue> values, boolean hasMore, long revision) {
        public Page {
            values = List.copyOf(values);
        }
    }

    /**
     * Changes under a prefix.
     *
     * @param changes in revision order
     * @param revision revision after which the next watch continues
     */
    record Changes(List<Change> changes, long revision) {
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /**
     * One change.
     *
     * @param value the value as written; for a deletion its content is empty
     * @param deleted whether the key was deleted
     */
    record Change(StoredValue value, boolean deleted) {}

    /**
     * Result of a commit.
     *
     * @param committed whether all conditions held
     * @param revision revision of the writes if committed
     * @param current present values of the keys of the conditions if not committed
     */
    record CommitResult(boolean committed, long revision, List<StoredValue> current) {
        public CommitResult {
            current = List.copyOf(current);
        }
    }
}
