package org.marigoldturn.membership;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.KeyValueStore;
import org.marigoldturn.store.LeaseExpiredException;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.StoredValue;
import org.marigoldturn.store.Transaction;
import org.marigoldturn.store.TransactionResult;

/**
 * Confirms the held version by a conditional write to the store.
 *
 * <p>A write is used because a lagging replica may return an old value for a read. The written key
 * is attached to a lease so that the store deletes it after the daemon has ended; no decision
 * depends on the lease. Confined to the control thread, except for {@link #confirmedSince}, which
 * any thread may call.
 */
public final class StoreConfirmer {
    private static final long LEASE_TTL_MILLIS = 60_000;
    private static final long RENEWAL_NANOS = TimeUnit.MILLISECONDS.toNanos(LEASE_TTL_MILLIS / 3);

    private final KeyValueStore mStore;
    private final String mManifestKey;
    private final String mConfirmationKey;
    private final ConfirmationTracker mTracker;
    private final Runnable mOnManifestMismatch;
    private final Executor mControl;
    private boolean mInFlight;
    private long mLeaseId = Operation.NO_LEASE;
    private long mRenewedAtNanos;
    private volatile Optional<Long> mLastConfirmedNanos = Optional.empty();

    /**
     * Creates a confirmer.
     *
     * @param prefix key prefix, ending in a slash
     * @param onManifestMismatch called on the control thread when the store holds a newer manifest
     *     or the revision of the held one is unknown; must start to read the store
     * @param control executor of the control thread
     */
    public StoreConfirmer(
            KeyValueStore store,
            String prefix,
            String selfId,
            ConfirmationTracker tracker,
            Runnable onManifestMismatch,
            Executor control) {
        mStore = store;
        mManifestKey = prefix + "manifest";
        mConfirmationKey = prefix + "confirmations/" + selfId;
        mTracker = tracker;
        mOnManifestMismatch = onManifestMismatch;
        mControl = control;
    }

    /**
     * Starts the next attempt unless one is in progress; called every 500 ms.
     *
     * @param version held version
     * @param manifestRevision store revision of its manifest, 0 if unknown
     */
    public void tick(long version, long manifestRevision, long nowNanos) {
        if (mInFlight) {
            return;
        }
        if (manifestRevision == Compare.ABSENT && version > 0) {
            mOnManifestMismatch.run();
        } else if (mLeaseId == Operation.NO_LEASE) {
            grantLease(nowNanos);
        } else {
            renewLease(nowNanos);
            confirm(version, manifestRevision, nowNanos);
        }
    }

    private void grantLease(long nowNanos) {
        mInFlight = true;
        ControlCallbacks.whenDone(
                mStore.grantLease(LEASE_TTL_MILLIS),
                mControl,
                (leaseId, failure) -> {
                    mInFlight = false;
                    if (failure == null) {
                        mLeaseId = leaseId;
                        mRenewedAtNanos = nowNanos;
                    }
                });
    }

    private void renewLease(long nowNanos) {
        if (nowNanos - mRenewedAtNanos < RENEWAL_NANOS) {
            return;
        }
        mRenewedAtNanos = nowNanos;
        ControlCallbacks.whenDone(
                mStore.keepLeaseAlive(mLeaseId), mControl, (done, failure) -> onLeaseUse(failure));
    }

    private void confirm(long version, long manifestRevision, long sentNanos) {
        mInFlight = true;
        ByteString value = ByteString.copyFromUtf8(Long.toString(version));
        Transaction transaction =
                new Transaction(
                        List.of(new Compare(mManifestKey, manifestRevision)),
                        List.of(new Operation.Put(mConfirmationKey, value, mLeaseId)),
                        List.of(new Operation.Read(mManifestKey)));
        ControlCallbacks.whenDone(
                mStore.commit(transaction),
                mControl,
                (result, failure) -> {
                    mInFlight = false;
                    onLeaseUse(failure);
                    if (failure == null) {
                        onResult(result, version, manifestRevision, sentNanos);
                    }
                });
    }

    private void onResult(
            TransactionResult result, long version, long manifestRevision, long sentNanos) {
        if (result.succeeded()) {
            mTracker.onStoreConfirmation(version, sentNanos);
            mLastConfirmedNanos = Optional.of(sentNanos);
            return;
        }
        List<StoredValue> found = result.reads().isEmpty() ? List.of() : result.reads().get(0);
        if (!found.isEmpty() && found.get(0).modRevision() > manifestRevision) {
            mOnManifestMismatch.run();
        }
    }

    /**
     * Returns whether a confirmation requested at or after the given time has succeeded. Thread
     * safe.
     */
    boolean confirmedSince(long nanos) {
        return mLastConfirmedNanos.filter(confirmed -> confirmed - nanos >= 0).isPresent();
    }

    private void onLeaseUse(Throwable failure) {
        boolean direct = failure instanceof LeaseExpiredException;
        if (direct || (failure != null && failure.getCause() instanceof LeaseExpiredException)) {
            mLeaseId = Operation.NO_LEASE;
        }
    }
}
