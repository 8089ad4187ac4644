package org.marigoldturn.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.marigoldturn.membership.ConfirmationTracker;
import org.marigoldturn.platform.KeyValueStore;
import org.marigoldturn.platform.LeaseExpiredException;
import org.marigoldturn.platform.Operation;
import org.marigoldturn.settings.ConfirmResult;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.SettingsRepository;

/**
 * Confirms the held state through the store and adopts a newer one. Belongs to the control thread;
 * {@link #reachesStore} is safe on any thread.
 *
 * <p>The record of the confirmation is attached to a lease, so that it disappears with the daemon.
 * The lease decides nothing.
 */
final class StoreConfirmationService {
    private static final long LEASE_TTL_MILLIS = 60_000;
    private static final long RENEWAL_NANOS = TimeUnit.MILLISECONDS.toNanos(LEASE_TTL_MILLIS / 3);
    private static final long REACHED_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final String mSelfId;
    private final KeyValueStore mStore;
    private final SettingsRepository mRepository;
    private final ConfirmationTracker mConfirmation;
    private final StatePublisher mPublisher;
    private final ControlLoop mControl;
    private final LongSupplier mNowNanos;
    private boolean mInFlight;
    private long mLeaseId = Operation.NO_LEASE;
    private long mRenewedAtNanos;
    private volatile boolean mReached;
    private volatile long mReachedAtNanos;

    StoreConfirmationService(
            String selfId,
            KeyValueStore store,
            SettingsRepository repository,
            ConfirmationTracker confirmation,
            StatePublisher publisher,
            ControlLoop control,
            LongSupplier nowNanos) {
        mSelfId = selfId;
        mStore = store;
        mRepository = repository;
        mConfirmation = confirmation;
        mPublisher = publisher;
        mControl = control;
        mNowNanos = nowNanos;
    }

    /** Returns whether the store has answered within the last 2 s. */
    boolean reachesStore() {
        return mReached && mNowNanos.getAsLong() - mReachedAtNanos < REACHED_NANOS;
    }

    /** Starts the next attempt unless one is under way; called every 500 ms. */
    void tick() {
        if (mInFlight) {
            return;
        }
        mInFlight = true;
        long sentNanos = mNowNanos.getAsLong();
        CompletableFuture<?> attempt =
                mLeaseId == Operation.NO_LEASE ? grantLease(sentNanos) : confirm(sentNanos);
        var unused =
                attempt.whenCompleteAsync(
                        (done, failure) -> {
                            mInFlight = false;
                            onOutcome(failure);
                        },
                        mControl);
    }

    private CompletableFuture<?> grantLease(long nowNanos) {
        return mStore.grantLease(LEASE_TTL_MILLIS)
                .thenAcceptAsync(
                        leaseId -> {
                            mLeaseId = leaseId;
                            mRenewedAtNanos = nowNanos;
                        },
                        mControl);
    }

    private CompletableFuture<?> confirm(long sentNanos) {
        if (sentNanos - mRenewedAtNanos >= RENEWAL_NANOS) {
            mRenewedAtNanos = sentNanos;
            return mStore.keepLeaseAlive(mLeaseId);
        }
        LoadedState held = mPublisher.loaded();
        return mRepository
                .confirm(mSelfId, held, mLeaseId)
                .thenAcceptAsync(result -> onResult(result, sentNanos), mControl);
    }

    private void onResult(ConfirmResult result, long sentNanos) {
        if (result instanceof ConfirmResult.Confirmed confirmed) {
            mPublisher.adopt(confirmed.state());
            mConfirmation.onStoreConfirmation(confirmed.state().state().version(), sentNanos);
        } else if (result instanceof ConfirmResult.Newer newer) {
            mPublisher.adopt(newer.state());
        }
    }

    private void onOutcome(Throwable failure) {
        if (failure == null) {
            mReachedAtNanos = mNowNanos.getAsLong();
            mReached = true;
            return;
        }
        boolean expired =
                failure instanceof LeaseExpiredException
                        || failure.getCause() instanceof LeaseExpiredException
                        || String.valueOf(failure.getMessage()).contains("lease");
        if (expired) {
            mLeaseId = Operation.NO_LEASE;
        }
    }
}
