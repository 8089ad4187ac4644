package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.jobs.wire.OwnerRecord;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.LeaseExpiredException;
import org.marigoldturn.store.MetadataStore;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.PrefixMirror;
import org.marigoldturn.store.StoredValue;
import org.tinylog.Logger;

/**
 * Finds the owner of the scheduling, and makes this daemon the owner when there is none.
 *
 * <p>Ownership is a key under a lease; the term, in a key of its own, rises with each takeover in
 * the same transaction. Invariant: at most one daemon has a given term. Confined to the control
 * thread.
 *
 * @see OwnerRole
 */
final class OwnerElection implements PrefixMirror.Listener {
    /** Three renewals fit into a lease. */
    private static final long RENEW_MILLIS = 800;

    /** Spreads the attempts of several daemons, most of which would fail. */
    private static final long MAX_JITTER_MILLIS = 60;

    /**
     * A daemon that has run for longer attempts later: while all daemons are restarted in turn,
     * those that were restarted already are not stopped again soon.
     */
    private static final long DELAY_MILLIS_PER_SECOND = 5;

    /** Bounds what a lost owner costs when no daemon is young. */
    private static final long MAX_AGE_DELAY_MILLIS = 120;

    private static final PrefixMirror.Options MIRROR = new PrefixMirror.Options(1_500, 0, 500);

    private final MetadataStore mStore;
    private final ControlLoop mControl;
    private final Clocks mClocks;
    private final DaemonIdentity mSelf;
    private final Listener mListener;
    private final PrefixMirror mMirror;
    private final Tenure mTenure = new Tenure();
    private StoredValue mTerm;
    private StoredValue mLive;
    private long mLease;
    private long mOwnTerm;
    private long mStartedMillis;
    private boolean mInterrupted;
    private long mRegainedMillis = Long.MIN_VALUE / 2;
    private long mRetryMillis = RENEW_MILLIS;
    private boolean mAttempting;
    private boolean mUpToDate;
    private boolean mLeaving;

    /** Is told of changes of ownership. */
    interface Listener {
        /** This daemon is the owner from now on. */
        void onElected(long term, long termRevision);

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
        mControl.every("owner lease", RENEW_MILLIS, this::renew);
    }

    /** Gives ownership up and does not compete again. */
    CompletableFuture<Void> leave() {
        mLeaving = true;
        long lease = mLease;
        mLease = 0;
        depose("this daemon is stopping");
        return lease == 0 ? CompletableFuture.completedFuture(null) : mStore.revokeLease(lease);
    }

    /** Returns how certain this daemon's ownership is. */
    Tenure tenure() {
        return mTenure;
    }

    /** Returns the monotonic time at which the store answered again; long ago if it always did. */
    long storeRegainedMillis() {
        return mRegainedMillis;
    }

    /** Gives ownership up after evidence of a newer owner. */
    void onFenced() {
        depose("a newer owner was seen");
    }

    @Override
    public void onValue(StoredValue value) {
        if (value.key().equals(StoreLayout.OWNER_TERM)) {
            mTerm = value;
            onTerm(read(value));
        } else if (value.key().equals(StoreLayout.OWNER_LIVE)) {
            mLive = value;
        }
    }

    @Override
    public void onRemoved(String key) {
        if (key.equals(StoreLayout.OWNER_LIVE)) {
            mLive = null;
        }
    }

    @Override
    public void onUpToDate() {
        mUpToDate = true;
        if (mInterrupted) {
            mInterrupted = false;
            mRegainedMillis = mClocks.now();
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
            return;
        }
        if (mOwnTerm != 0 && record.get().getTerm() > mOwnTerm) {
            depose("term " + record.get().getTerm() + " is in the store");
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

    /** Takes ownership if nobody has it, or if an earlier life on this host had it. */
    private void compete() {
        boolean vacant = mLive == null || isOfEarlierLife(mLive);
        boolean holdsLive = mOwnTerm != 0 && mLive != null;
        if (mLeaving || mAttempting || !vacant || holdsLive || !mUpToDate) {
            return;
        }
        mAttempting = true;
        long jitterMillis = ThreadLocalRandom.current().nextLong(MAX_JITTER_MILLIS);
        long delayMillis =
                mOwnTerm != 0
                        ? 0
                        : attemptDelayMillis(mClocks.now() - mStartedMillis, jitterMillis);
        mControl.after("owner attempt", delayMillis, this::attempt);
    }

    /** Returns how long a daemon of the given age waits before it takes a vacant ownership. */
    static long attemptDelayMillis(long ageMillis, long jitterMillis) {
        long byAgeMillis = ageMillis * DELAY_MILLIS_PER_SECOND / 1_000;
        return Math.min(MAX_AGE_DELAY_MILLIS, byAgeMillis) + jitterMillis;
    }

    private boolean isOfEarlierLife(StoredValue live) {
        String id = live.value().toStringUtf8();
        return id.startsWith(mSelf.host() + "/") && !id.equals(mSelf.id());
    }

    private void attempt() {
        if (mLive != null && !isOfEarlierLife(mLive)) {
            mAttempting = false;
            return;
        }
        long sentMillis = mClocks.now();
        long sentEpochMillis = mClocks.epoch();
        // What was found vacant is the condition of the takeover, whatever is read meanwhile.
        Vacancy vacancy = vacancy();
        mStore.grantLease(Tenure.LEASE_MILLIS)
                .thenCompose(lease -> takeOver(vacancy, lease))
                .whenComplete(
                        (result, failure) ->
                                mControl.execute(
                                        () -> {
                                            if (failure == null && result.result().committed()) {
                                                mTenure.confirm(sentMillis, sentEpochMillis);
                                            }
                                            onAttempt(result, failure);
                                        }));
    }

    private Vacancy vacancy() {
        long heldTerm = mTerm == null ? 0 : read(mTerm).map(OwnerRecord::getTerm).orElse(0L);
        return new Vacancy(
                heldTerm,
                mTerm == null ? Compare.ABSENT : mTerm.modRevision(),
                mLive == null ? Compare.ABSENT : mLive.modRevision(),
                mOwnTerm != 0 && mOwnTerm == heldTerm);
    }

    /** The state of the records in which a takeover is allowed. */
    private record Vacancy(
            long heldTerm, long termRevision, long liveRevision, boolean keepsTerm) {}

    /** Writes the next term, or renews the claim of the same term after a lapse. */
    private CompletableFuture<Attempt> takeOver(Vacancy vacancy, long lease) {
        boolean keepsTerm = vacancy.keepsTerm();
        long term = keepsTerm ? vacancy.heldTerm() : vacancy.heldTerm() + 1;
        List<Operation.Put> puts = new ArrayList<>();
        puts.add(
                new Operation.Put(
                        StoreLayout.OWNER_LIVE, ByteString.copyFromUtf8(mSelf.id()), lease));
        if (!keepsTerm) {
            puts.add(new Operation.Put(StoreLayout.OWNER_TERM, record(term).toByteString()));
        }
        return mStore.commit(
                        List.of(
                                new Compare(StoreLayout.OWNER_TERM, vacancy.termRevision()),
                                new Compare(StoreLayout.OWNER_LIVE, vacancy.liveRevision())),
                        puts,
                        List.of())
                .thenApply(result -> new Attempt(lease, term, keepsTerm, result));
    }

    /** An attempt and its result. */
    private record Attempt(
            long lease, long term, boolean keepsTerm, MetadataStore.CommitResult result) {}

    private void onAttempt(Attempt attempt, Throwable failure) {
        mAttempting = false;
        if (failure != null) {
            Logger.warn("owner: event=attempt-failed cause={}", failure.getMessage());
            mControl.after("owner retry", mRetryMillis, this::compete);
            return;
        }
        if (!attempt.result().committed() || mLeaving) {
            var unused =
                    mStore.revokeLease(attempt.lease())
                            .whenComplete((done, problem) -> logRevocation(problem));
            return;
        }
        mLease = attempt.lease();
        if (attempt.keepsTerm()) {
            Logger.info("owner: event=claim-renewed term={}", attempt.term());
            return;
        }
        depose("this daemon took over again");
        mOwnTerm = attempt.term();
        Logger.info("owner: event=elected term={}", mOwnTerm);
        mListener.onOwner(record(mOwnTerm));
        mListener.onElected(mOwnTerm, attempt.result().revision());
    }

    private static void logRevocation(Throwable problem) {
        if (problem != null) {
            Logger.info("owner: event=lease-left-to-end cause={}", problem.getMessage());
        }
    }

    private void renew() {
        if (mLease == 0 || mOwnTerm == 0) {
            compete();
            return;
        }
        long lease = mLease;
        long sentMillis = mClocks.now();
        long sentEpochMillis = mClocks.epoch();
        mStore.keepLeaseAlive(lease)
                .whenComplete(
                        (done, failure) ->
                                mControl.execute(
                                        () -> {
                                            if (failure == null && lease == mLease) {
                                                mTenure.confirm(sentMillis, sentEpochMillis);
                                            }
                                            onRenewed(lease, failure);
                                        }));
    }

    private void onRenewed(long lease, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof LeaseExpiredException && lease == mLease) {
            Logger.warn("owner: event=lease-ended term={}", mOwnTerm);
            mLease = 0;
            // The watch tells whether another daemon has taken over or the claim can be renewed.
            compete();
        } else if (cause != null) {
            Logger.warn(
                    "owner: event=renewal-failed term={} cause={}", mOwnTerm, cause.getMessage());
        }
    }

    private OwnerRecord record(long term) {
        return OwnerRecord.newBuilder()
                .setTerm(term)
                .setOwnerId(mSelf.id())
                .setZone(mSelf.zone())
                .setAddress(mSelf.address())
                .setPeerPort(mSelf.peerPort())
                .build();
    }

    private static Optional<OwnerRecord> read(StoredValue value) {
        try {
            return Optional.of(OwnerRecord.parseFrom(value.value()));
        } catch (InvalidProtocolBufferException e) {
            Logger.error(e, "owner: event=unreadable-record revision={}", value.modRevision());
            return Optional.empty();
        }
    }
}
