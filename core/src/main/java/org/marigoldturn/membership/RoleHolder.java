package org.marigoldturn.membership;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.KeyValueStore;
import org.marigoldturn.store.LeaseExpiredException;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.Transaction;
import org.marigoldturn.store.TransactionResult;
import org.tinylog.Logger;

/**
 * Competes for a named role and holds it through a lease in the store.
 *
 * <p>The role only avoids duplicate work: a paused holder can resume after its lease has expired,
 * so each decision must be a settings commit based on the version that the holder read. Confined to
 * the control thread; {@link #holds} is safe on any thread.
 */
public final class RoleHolder {
    static final long LEASE_TTL_MILLIS = 8_000;

    private static final long TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(LEASE_TTL_MILLIS);

    /**
     * Time during which the role counts as held after a renewal; a quarter of the lease remains
     * after it, to allow for clocks that run at different rates.
     */
    private static final long VALIDITY_NANOS = TTL_NANOS / 4 * 3;

    private static final long RENEWAL_NANOS = TTL_NANOS / 4;

    /** Interval between attempts to acquire the role. */
    private static final long ATTEMPT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final KeyValueStore mStore;
    private final String mKey;
    private final String mSelfId;
    private final Executor mControl;
    private boolean mReleased;
    private boolean mAttempted;
    private long mLastAttemptNanos;
    private boolean mRenewing;
    private long mLastRenewalNanos;
    private boolean mAcquiring;
    private volatile Held mHeld;

    /**
     * The lease of the role and the monotonic time before its grant or last renewal was requested.
     */
    private record Held(long leaseId, long renewedAtNanos) {}

    /**
     * Creates a candidate that does not hold the role.
     *
     * @param prefix key prefix, ending in a slash
     * @param control executor of the control thread
     */
    public RoleHolder(
            KeyValueStore store, String prefix, String role, String selfId, Executor control) {
        mStore = store;
        mKey = prefix + "roles/" + role;
        mSelfId = selfId;
        mControl = control;
    }

    /** Returns whether the role is held now; false if the lease may have expired. */
    public boolean holds(long nowNanos) {
        Held held = mHeld;
        return held != null && nowNanos - held.renewedAtNanos() < VALIDITY_NANOS;
    }

    /** Renews the lease or tries to acquire the role; called at least once a second. */
    public void tick(long nowNanos) {
        if (mReleased) {
            return;
        }
        Held held = mHeld;
        if (held == null) {
            attempt(nowNanos);
        } else if (!holds(nowNanos)) {
            lose(held, "no renewal for " + VALIDITY_NANOS / 1_000_000 + " ms");
        } else if (!mRenewing && nowNanos - mLastRenewalNanos >= RENEWAL_NANOS) {
            renew(held, nowNanos);
        }
    }

    /** Permanently gives the role up. */
    public void release() {
        mReleased = true;
        Held held = mHeld;
        if (held != null) {
            lose(held, "released");
        }
    }

    private void attempt(long nowNanos) {
        boolean early = mAttempted && nowNanos - mLastAttemptNanos < ATTEMPT_NANOS;
        if (mAcquiring || early) {
            return;
        }
        mAttempted = true;
        mAcquiring = true;
        mLastAttemptNanos = nowNanos;
        Transaction read = Transaction.unconditional(List.of(new Operation.Read(mKey)));
        CompletableFuture<Void> outcome =
                mStore.commit(read)
                        .thenCompose(
                                found ->
                                        found.reads().get(0).isEmpty()
                                                ? acquire(nowNanos)
                                                : CompletableFuture.completedFuture(null));
        ControlCallbacks.whenDone(outcome, mControl, (done, failure) -> mAcquiring = false);
    }

    private CompletableFuture<Void> acquire(long startNanos) {
        return mStore.grantLease(LEASE_TTL_MILLIS)
                .thenCompose(
                        leaseId ->
                                mStore.commit(putIfAbsent(leaseId))
                                        .handleAsync(
                                                (result, failure) ->
                                                        onPut(leaseId, startNanos, result),
                                                mControl));
    }

    private Transaction putIfAbsent(long leaseId) {
        ByteString value = ByteString.copyFromUtf8(mSelfId);
        return new Transaction(
                List.of(Compare.absent(mKey)),
                List.of(new Operation.Put(mKey, value, leaseId)),
                List.of());
    }

    /**
     * An unknown outcome counts as failure; revoking the lease deletes the key if it was written.
     */
    private Void onPut(long leaseId, long startNanos, TransactionResult result) {
        if (result != null && result.succeeded() && !mReleased) {
            mHeld = new Held(leaseId, startNanos);
            mLastRenewalNanos = startNanos;
            mRenewing = false;
            Logger.info("membership: acquired the role with key {}.", mKey);
        } else {
            revoke(leaseId);
        }
        return null;
    }

    private void renew(Held held, long sentNanos) {
        mRenewing = true;
        mLastRenewalNanos = sentNanos;
        ControlCallbacks.whenDone(
                mStore.keepLeaseAlive(held.leaseId()),
                mControl,
                (done, failure) -> onRenewed(held, sentNanos, failure));
    }

    private void onRenewed(Held held, long sentNanos, Throwable failure) {
        Held current = mHeld;
        if (current == null || current.leaseId() != held.leaseId()) {
            return;
        }
        mRenewing = false;
        if (failure == null) {
            mHeld = new Held(held.leaseId(), sentNanos);
        } else if (isExpired(failure)) {
            lose(held, "lease expired");
        }
    }

    private static boolean isExpired(Throwable failure) {
        return failure instanceof LeaseExpiredException
                || failure.getCause() instanceof LeaseExpiredException;
    }

    private void lose(Held held, String reason) {
        mHeld = null;
        mRenewing = false;
        Logger.info("membership: no longer holds the role {}: {}.", mKey, reason);
        revoke(held.leaseId());
    }

    /** Best effort; the lease expires by itself if the store cannot be reached. */
    private void revoke(long leaseId) {
        ControlCallbacks.whenDone(
                mStore.revokeLease(leaseId),
                mControl,
                (done, failure) -> {
                    if (failure != null) {
                        Logger.debug(
                                "membership: cannot revoke lease {}; it expires by itself",
                                leaseId);
                    }
                });
    }
}
