package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.MetadataStore;
import org.marigoldturn.store.Operation;

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
     * The record revisions that a takeover requires, whether it keeps this daemon's term, and for
     * how long earlier owners may act after it.
     */
    record Vacancy(
            long heldTerm,
            long termRevision,
            long liveRevision,
            boolean keepsTerm,
            long earlierOwnersActMillis) {
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
     * Tells the next owner that this daemon has given up the ownership by itself and acts no more,
     * and removes the live record; does nothing if there is a newer term.
     *
     * @param earlierOwnersActMillis for how long from now on earlier owners may act
     */
    CompletableFuture<MetadataStore.CommitResult> leave(
            long term, long termRevision, long earlierOwnersActMillis) {
        return mStore.commit(
                List.of(new Compare(StoreLayout.OWNER_TERM, termRevision)),
                List.of(
                        new Operation.Put(
                                StoreLayout.OWNER_TERM,
                                OwnerRecordCodec.createLeft(mSelf, term, earlierOwnersActMillis)
                                        .toByteString())),
                List.of(new Operation.Delete(StoreLayout.OWNER_LIVE)));
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
                            OwnerRecordCodec.create(
                                            mSelf,
                                            vacancy.nextTerm(),
                                            vacancy.earlierOwnersActMillis())
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
