package org.marigoldturn.coordination;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.jobs.wire.OwnerRecord;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.LeaseExpiredException;
import org.marigoldturn.store.MetadataStore;
import org.marigoldturn.store.PrefixMirror;
import org.marigoldturn.store.StoredValue;
import org.tinylog.Logger;

/**
 * Elects the owner of the scheduling: follows who the owner is, and makes this daemon the owner
 * when there is none.
 *
 * <p>The owner's live record is stored under a lease; the term, stored under a separate key, is
 * increased by each takeover in the same transaction. Invariant: at most one daemon has a given
 * term. Records that another writer has damaged are replaced by the next takeover. Confined to the
 * control thread.
 *
 * @see OwnerRole
 */
final class OwnerElection implements PrefixMirror.Listener {
    /** Several renewals fit into a lease; leases of targets end a bounded time after each. */
    private static final long RENEW_INTERVAL_MILLIS = 300;

    /**
     * Shortest time between two takeovers because of an owner that has ended. Two daemons that
     * reach the store but not each other must not take the ownership from each other in turn.
     */
    private static final long ENDED_OWNER_INTERVAL_MILLIS = 10_000;

    private static final PrefixMirror.Options MIRROR = new PrefixMirror.Options(1_500, 0, 500);

    private final MetadataStore mStore;
    private final ControlLoop mControl;
    private final Clocks mClocks;
    private final DaemonIdentity mSelf;
    private final Listener mListener;
    private final Takeover mTakeover;
    private final PrefixMirror mMirror;
    private final KnownTerm mKnownTerm = new KnownTerm();
    private final OwnershipLease mOwnershipLease = new OwnershipLease();
    private StoredValue mLiveRecord;
    private long mForeignLiveSinceMillis = Long.MAX_VALUE;
    private String mEndedOwnerId = "";
    private long mOwnerEndedMillis = Long.MIN_VALUE / 2;
    private long mLeaseId;
    private long mOwnTerm;
    private long mOwnTermRevision;
    private TakeoverTimes mTimes;
    private long mElectedMillis;
    private long mStartedMillis;
    private boolean mInterrupted;
    private long mStoreRegainedMillis = Long.MIN_VALUE / 2;
    private long mRetryMillis = RENEW_INTERVAL_MILLIS;
    private boolean mAttempting;
    private boolean mRenewing;
    private boolean mUpToDate;
    private boolean mLeaving;

    /** Is notified of changes of ownership. */
    interface Listener {
        /**
         * This daemon is the owner from now on.
         *
         * @param times what is known of the time of earlier owners
         */
        void onElected(long term, long termRevision, TakeoverTimes times);

        /** The store has confirmed that this daemon is the owner. */
        void onConfirmed();

        /** This daemon is no longer the owner. */
        void onDeposed(String reason);

        /** The owner, which may be this daemon, is known or has changed. */
        void onOwner(OwnerRecord owner);
    }

    OwnerElection(
            MetadataStore store,
            ControlLoop control,
            Clocks clocks,
            DaemonIdentity self,
            Listener listener) {
        mStore = store;
        mControl = control;
        mClocks = clocks;
        mSelf = self;
        mListener = listener;
        mTakeover = new Takeover(store, self);
        mMirror =
                new PrefixMirror(
                        store,
                        StoreLayout.OWNER_PREFIX,
                        MIRROR,
                        this,
                        control,
                        (delay, task) -> control.after("owner watch", delay, task),
                        clocks.monotonicMillis());
    }

    void start() {
        mStartedMillis = mClocks.now();
        mMirror.start();
        mControl.every("owner lease", RENEW_INTERVAL_MILLIS, this::renew);
    }

    /**
     * Gives up ownership and does not compete for it again.
     *
     * @param actsNoMore whether nothing that this daemon has ordered can begin later, apart from
     *     starts, which end with the lease sent with them
     */
    CompletableFuture<Void> leave(boolean actsNoMore) {
        mLeaving = true;
        long lease = mLeaseId;
        long term = mOwnTerm;
        mLeaseId = 0;
        depose("this daemon is stopping");
        if (lease == 0) {
            return CompletableFuture.completedFuture(null);
        }
        if (term == 0) {
            return mStore.revokeLease(lease);
        }
        OwnerRecord record =
                OwnerRecordCodec.createRevoked(
                        mSelf, term, mTimes, mClocks.now() - mElectedMillis, actsNoMore);
        return mTakeover.leave(record, mOwnTermRevision, lease);
    }

    /** Returns the state of this daemon's ownership lease. */
    OwnershipLease ownershipLease() {
        return mOwnershipLease;
    }

    /**
     * Returns the monotonic time at which the store last became readable again after an
     * interruption; a time far in the past if there was none.
     */
    long storeRegainedMillis() {
        return mStoreRegainedMillis;
    }

    /** Lets the store confirm the ownership at once, unless a renewal is under way. */
    void confirmNow() {
        if (!mRenewing) {
            renew();
        }
    }

    /** Gives up ownership after evidence of a newer owner. */
    void onFenced() {
        depose("a newer owner was seen");
    }

    /**
     * Records evidence that a daemon's process has ended: its address refuses connections or
     * belongs to another daemon. If it is the owner, its lease in the store is not waited for. It
     * may be alive after all, since a network fault can refuse connections; the higher term then
     * fences it, and the takeover tells for how long it may act ({@link EarlierOwners}).
     */
    void onDaemonEnded(String id) {
        boolean isOwner = mLiveRecord != null && mLiveRecord.value().toStringUtf8().equals(id);
        long now = mClocks.now();
        if (!isOwner
                || id.equals(mEndedOwnerId)
                || now - mOwnerEndedMillis < ENDED_OWNER_INTERVAL_MILLIS) {
            return;
        }
        Logger.info("owner: event=ended owner={}", id);
        mEndedOwnerId = id;
        mOwnerEndedMillis = now;
        compete();
    }

    @Override
    public void onValue(StoredValue value) {
        if (value.key().equals(StoreLayout.OWNER_TERM)) {
            onTerm(mKnownTerm.update(value, mClocks.now()));
        } else if (value.key().equals(StoreLayout.OWNER_LIVE)) {
            mLiveRecord = value;
        }
        checkLiveRecord();
    }

    @Override
    public void onRemoved(String key) {
        if (key.equals(StoreLayout.OWNER_LIVE)) {
            mLiveRecord = null;
        }
        checkLiveRecord();
    }

    /**
     * Notes since when the live record does not name the owner of the term. A takeover writes both
     * in one transaction, so such a record is not the owner's.
     */
    private void checkLiveRecord() {
        String owner = mKnownTerm.owner().map(OwnerRecord::getOwnerId).orElse("");
        boolean foreign = mLiveRecord != null && !mLiveRecord.value().toStringUtf8().equals(owner);
        if (!foreign) {
            mForeignLiveSinceMillis = Long.MAX_VALUE;
        } else if (mForeignLiveSinceMillis == Long.MAX_VALUE) {
            mForeignLiveSinceMillis = mClocks.now();
        }
    }

    @Override
    public void onUpToDate() {
        mUpToDate = true;
        if (mInterrupted) {
            mInterrupted = false;
            mStoreRegainedMillis = mClocks.now();
        }
        compete();
    }

    @Override
    public void onInterrupted(Throwable cause) {
        mUpToDate = false;
        mInterrupted = true;
    }

    private void onTerm(Optional<OwnerRecord> record) {
        if (record.isEmpty()) {
            Logger.error(
                    "owner: event=unreadable-record key={} rev={}",
                    StoreLayout.OWNER_TERM,
                    mKnownTerm.revision());
            return;
        }
        if (mOwnTerm != 0 && record.get().getTerm() > mOwnTerm) {
            depose("the store holds the newer term " + record.get().getTerm());
        }
        mListener.onOwner(record.get());
    }

    private void depose(String reason) {
        if (mOwnTerm == 0) {
            return;
        }
        Logger.info("owner: event=deposed term={} reason=\"{}\"", mOwnTerm, reason);
        mOwnTerm = 0;
        mListener.onDeposed(reason);
    }

    /**
     * Schedules a takeover attempt if there is no owner, or if the owner is an earlier incarnation
     * of this daemon.
     */
    private void compete() {
        boolean holdsLiveRecord = mOwnTerm != 0 && mLiveRecord != null;
        if (mLeaving || mAttempting || !isVacant() || holdsLiveRecord || !mUpToDate) {
            return;
        }
        mAttempting = true;
        long ageMillis = mClocks.now() - mStartedMillis;
        long delayMillis =
                mOwnTerm != 0
                        ? 0
                        : TakeoverDelay.millis(
                                ageMillis, mSelf.cores(), TakeoverDelay.randomJitterMillis());
        mControl.after("owner attempt", delayMillis, this::attempt);
    }

    /**
     * Returns whether no daemon holds the live record; one that is not the owner's is disregarded
     * once an owner's lease would have ended.
     */
    private boolean isVacant() {
        return mLiveRecord == null
                || isOfEarlierIncarnation(mLiveRecord)
                || mLiveRecord.value().toStringUtf8().equals(mEndedOwnerId)
                || mClocks.now() - OwnershipLease.LEASE_MILLIS >= mForeignLiveSinceMillis;
    }

    private boolean isOfEarlierIncarnation(StoredValue live) {
        String id = live.value().toStringUtf8();
        return id.startsWith(mSelf.host() + "/") && !id.equals(mSelf.id());
    }

    private void attempt() {
        if (!isVacant()) {
            mAttempting = false;
            return;
        }
        long sentMillis = mClocks.now();
        long sentEpochMillis = mClocks.epoch();
        Takeover.Vacancy vacancy = vacancy(sentMillis);
        // The takeover requires the records as they are now; later watch events don't change that.
        mTakeover
                .attempt(vacancy)
                .whenComplete(
                        (result, failure) ->
                                mControl.execute(
                                        () -> {
                                            if (failure == null && result.result().committed()) {
                                                mOwnershipLease.confirm(
                                                        sentMillis, sentEpochMillis);
                                            }
                                            onAttempt(result, failure);
                                        }));
    }

    private Takeover.Vacancy vacancy(long nowMillis) {
        boolean leaseExpired = mLiveRecord == null;
        return new Takeover.Vacancy(
                mKnownTerm.heldTerm(),
                mKnownTerm.revision(),
                mLiveRecord == null ? Compare.ABSENT : mLiveRecord.modRevision(),
                mOwnTerm != 0 && mOwnTerm == mKnownTerm.heldTerm(),
                mKnownTerm.times(leaseExpired, endedBeforeMillis(nowMillis), nowMillis));
    }

    /** An earlier incarnation of this daemon has ended before this one was started. */
    private long endedBeforeMillis(long nowMillis) {
        boolean own = mLiveRecord != null && isOfEarlierIncarnation(mLiveRecord);
        return own ? Math.max(1, nowMillis - mStartedMillis) : 0;
    }

    private void onAttempt(Takeover.Attempt attempt, Throwable failure) {
        mAttempting = false;
        if (failure != null) {
            Logger.warn("owner: event=attempt-failed cause={}", failure.getMessage());
            mControl.after("owner retry", mRetryMillis, this::compete);
            return;
        }
        if (!attempt.result().committed() || mLeaving) {
            var unused = giveUp(attempt).whenComplete((done, problem) -> logRevocation(problem));
            return;
        }
        mLeaseId = attempt.lease();
        if (attempt.vacancy().keepsTerm()) {
            Logger.info("owner: event=claim-renewed term={}", attempt.term());
            return;
        }
        depose("this daemon took over again");
        mOwnTerm = attempt.term();
        mOwnTermRevision = attempt.result().revision();
        mTimes = attempt.vacancy().times();
        mElectedMillis = mClocks.now();
        long earlierOwnersActMillis = mTimes.earlierOwnersActMillis();
        Logger.info(
                "owner: event=elected term={} earlierOwnersActMillis={}",
                mOwnTerm,
                earlierOwnersActMillis);
        mListener.onOwner(OwnerRecordCodec.create(mSelf, mOwnTerm, mTimes));
        mListener.onElected(mOwnTerm, mOwnTermRevision, mTimes);
    }

    private CompletableFuture<Void> giveUp(Takeover.Attempt attempt) {
        Takeover.Vacancy vacancy = attempt.vacancy();
        if (!attempt.result().committed()) {
            return mStore.revokeLease(attempt.lease());
        }
        OwnerRecord record =
                OwnerRecordCodec.createRevoked(mSelf, attempt.term(), vacancy.times(), 0, true);
        long termRevision =
                vacancy.keepsTerm() ? vacancy.termRevision() : attempt.result().revision();
        return mTakeover.leave(record, termRevision, attempt.lease());
    }

    private static void logRevocation(Throwable problem) {
        if (problem != null) {
            Logger.info("owner: event=lease-left-to-end cause={}", problem.getMessage());
        }
    }

    private void renew() {
        if (mLeaseId == 0 || mOwnTerm == 0) {
            compete();
            return;
        }
        mRenewing = true;
        long lease = mLeaseId;
        long sentMillis = mClocks.now();
        long sentEpochMillis = mClocks.epoch();
        // The lease alone proves nothing: it goes on when another daemon replaces the live record.
        mStore.keepLeaseAlive(lease)
                .thenCombine(mStore.read(StoreLayout.OWNER_TERM), (kept, term) -> term)
                .whenComplete(
                        (term, failure) ->
                                mControl.execute(
                                        () -> {
                                            mRenewing = false;
                                            if (failure == null && lease == mLeaseId) {
                                                onConfirmed(term, sentMillis, sentEpochMillis);
                                            }
                                            onRenewed(lease, failure);
                                        }));
    }

    private void onConfirmed(Optional<StoredValue> term, long sentMillis, long sentEpochMillis) {
        long revision = term.map(StoredValue::modRevision).orElse(Compare.ABSENT);
        if (revision == mOwnTermRevision) {
            mOwnershipLease.confirm(sentMillis, sentEpochMillis);
            mListener.onConfirmed();
        } else {
            depose("the store holds revision " + revision + " of the term's record");
        }
    }

    private void onRenewed(long lease, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof LeaseExpiredException && lease == mLeaseId) {
            Logger.warn("owner: event=lease-ended term={}", mOwnTerm);
            mLeaseId = 0;
            // The watch reports whether another daemon has taken over; if not, the live record is
            // restored.
            compete();
        } else if (cause != null) {
            Logger.warn(
                    "owner: event=renewal-failed term={} cause={}", mOwnTerm, cause.getMessage());
        }
    }
}
