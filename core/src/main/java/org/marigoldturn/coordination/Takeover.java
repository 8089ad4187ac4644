package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.jobs.wire.OwnerRecord;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.MetadataStore;
import org.marigoldturn.store.Operation;
import org.tinylog.Logger;

/**
 * Takes over the ownership in one transaction, which fails if the owner's records have changed
 * since they were read. Thread safe.
 */
final class Takeover {
    private final MetadataStore mStore;
    private final DaemonIdentity mSelf;

    Takeover(MetadataStore store, DaemonIdentity self) {
        mStore = store;
        mSelf = self;
    }

    /**
     * The record revisions that a takeover requires, whether it keeps this daemon's term, and what
     * is known of the time of earlier owners.
     */
    record Vacancy(
            long heldTerm,
            long termRevision,
            long liveRevision,
            boolean keepsTerm,
            TakeoverTimes times) {
        /** Returns the term after the takeover. */
        long nextTerm() {
            return keepsTerm ? heldTerm : heldTerm + 1;
        }
    }

    /** A takeover attempt and its result. */
    record Attempt(long lease, long term, Vacancy vacancy, MetadataStore.CommitResult result) {}

    /**
     * Writes the next term, or restores the live record of the same term after its lease expired.
     */
    CompletableFuture<Attempt> attempt(Vacancy vacancy) {
        return mStore.grantLease(OwnershipLease.LEASE_MILLIS)
                .thenCompose(lease -> commit(vacancy, lease));
    }

    /**
     * Tells the next owner that this daemon gives up the ownership by itself, removes the live
     * record and ends its lease; with a newer term in the store, only the lease ends. If the store
     * does not respond, the lease expires, since the next owner would take a removed live record
     * without that notice as expired.
     *
     * @param record of this daemon's term from now on
     */
    CompletableFuture<Void> leave(OwnerRecord record, long termRevision, long lease) {
        return mStore.commit(
                        List.of(new Compare(StoreLayout.OWNER_TERM, termRevision)),
                        List.of(new Operation.Put(StoreLayout.OWNER_TERM, record.toByteString())),
                        List.of(new Operation.Delete(StoreLayout.OWNER_LIVE)))
                .handle((result, failure) -> failure)
                .thenCompose(failure -> revokeLease(lease, failure));
    }

    private CompletableFuture<Void> revokeLease(long lease, Throwable failureToLeave) {
        if (failureToLeave != null) {
            Logger.info("owner: event=leave-untold cause={}", failureToLeave.getMessage());
            return CompletableFuture.completedFuture(null);
        }
        return mStore.revokeLease(lease);
    }

    private CompletableFuture<Attempt> commit(Vacancy vacancy, long lease) {
        List<Operation.Put> puts = new ArrayList<>();
        puts.add(
                new Operation.Put(
                        StoreLayout.OWNER_LIVE, ByteString.copyFromUtf8(mSelf.id()), lease));
        if (!vacancy.keepsTerm()) {
            puts.add(
                    new Operation.Put(
                            StoreLayout.OWNER_TERM,
                            OwnerRecordCodec.create(mSelf, vacancy.nextTerm(), vacancy.times())
                                    .toByteString()));
        }
        return mStore.commit(
                        List.of(
                                new Compare(StoreLayout.OWNER_TERM, vacancy.termRevision()),
                                new Compare(StoreLayout.OWNER_LIVE, vacancy.liveRevision())),
                        puts,
                        List.of())
                .thenApply(result -> new Attempt(lease, vacancy.nextTerm(), vacancy, result));
    }
}
