package org.marigoldturn.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marigoldturn.admission.PoolQueue;
import org.marigoldturn.admission.QueuedRequest;
import org.marigoldturn.admission.ResourceNeeds;
import org.marigoldturn.rights.ResourceNames;
import org.marigoldturn.rights.RightsHolder;
import org.marigoldturn.routing.PoolHosts.ZonedHost;
import org.marigoldturn.routing.TargetSelector.Selection;
import org.tinylog.Logger;

/**
 * Starts the queued requests of one pool while hosts are free. Thread safe.
 *
 * <p>Passes over the queue are serialized without blocking: a thread that finds a pass in progress
 * only increments a counter, and the thread that makes the pass then makes another one. No change
 * of the queue or of the rights is missed.
 */
final class PoolDispatcher {
    /** Receives notifications about queued requests; called on any thread. */
    interface Listener {
        /** A request was added, and not all queued requests could start. */
        void onWaiting();

        /** The request was removed from the queue to start on the host; its rights are taken. */
        void onSelected(QueuedRequest<Exchange> request, Selection selection);

        /** The request was removed from the queue because it waited too long. */
        void onExpired(QueuedRequest<Exchange> request);

        /** The request was removed from the queue because the settings are not confirmed. */
        void onUnconfirmed(QueuedRequest<Exchange> request);
    }

    /** Group of first attempts for which the same hosts are suitable. */
    private record PlacementClass(ResourceNeeds needs, boolean idempotent, String protocol) {
        static PlacementClass of(CallerRequest request) {
            return new PlacementClass(
                    request.needs(),
                    request.idempotent(),
                    request.service().protocol().uriScheme());
        }
    }

    private final String mPool;
    private final PoolQueue<Exchange> mQueue;
    private final SelectFilter mSelect;
    private final RightsHolder mRights;
    private final Supplier<FleetView> mView;
    private final LongSupplier mNowNanos;
    private final Listener mListener;
    private final AtomicInteger mRequestedPasses = new AtomicInteger();

    PoolDispatcher(
            String pool,
            PoolQueue<Exchange> queue,
            SelectFilter select,
            RightsHolder rights,
            Supplier<FleetView> view,
            LongSupplier nowNanos,
            Listener listener) {
        mPool = pool;
        mQueue = queue;
        mSelect = select;
        mRights = rights;
        mView = view;
        mNowNanos = nowNanos;
        mListener = listener;
    }

    PoolQueue<Exchange> queue() {
        return mQueue;
    }

    /** Starts the queued requests that can start now. */
    void run() {
        if (mQueue.queued() == 0 || mRequestedPasses.getAndIncrement() != 0) {
            return;
        }
        int completedPasses = 1;
        do {
            tryPass();
            completedPasses = mRequestedPasses.addAndGet(-completedPasses);
        } while (completedPasses != 0);
    }

    /** Removes all queued requests, so that their callers can try another daemon. */
    void refuseAll() {
        mQueue.removeAll().forEach(mListener::onUnconfirmed);
    }

    /** Logs an unexpected exception, which must not prevent later passes over the queue. */
    private void tryPass() {
        try {
            pass();
        } catch (RuntimeException e) {
            Logger.error(
                    e,
                    "entry: pass over the queue failed; the next pass tries again. pool={}",
                    mPool);
        }
    }

    private void pass() {
        mQueue.expire(mNowNanos.getAsLong()).forEach(mListener::onExpired);
        FleetView view = mView.get();
        int localSlots = localSlots(view);
        Set<PlacementClass> blockedClasses = new HashSet<>();
        Set<QueuedRequest<Exchange>> blockedRetries = new HashSet<>();
        while (mQueue.queued() > 0) {
            Optional<QueuedRequest<Exchange>> next =
                    mQueue.next(
                            localSlots, request -> mayFit(request, blockedClasses, blockedRetries));
            if (next.isEmpty()) {
                return;
            }
            if (!tryStart(view, next.get())) {
                if (next.get().repeated()) {
                    blockedRetries.add(next.get());
                } else {
                    blockedClasses.add(PlacementClass.of(next.get().attachment().request()));
                }
            }
        }
    }

    private static boolean mayFit(
            QueuedRequest<Exchange> request,
            Set<PlacementClass> blockedClasses,
            Set<QueuedRequest<Exchange>> blockedRetries) {
        return request.repeated()
                ? !blockedRetries.contains(request)
                : !blockedClasses.contains(PlacementClass.of(request.attachment().request()));
    }

    /** Tries to start the request; returns false if no suitable host is free. */
    private boolean tryStart(FleetView view, QueuedRequest<Exchange> request) {
        Exchange exchange = request.attachment();
        Optional<Selection> selection =
                mSelect.select(view, exchange.request(), exchange.triedHosts());
        if (selection.isEmpty()) {
            mQueue.releaseLimitRight(request);
            return false;
        }
        if (mQueue.start(request)) {
            mListener.onSelected(request, selection.get());
        } else {
            mSelect.releaseUnused(mPool, selection.get());
        }
        return true;
    }

    /** Returns the number of slots of the pool that this daemon uses or has free rights to. */
    private int localSlots(FleetView view) {
        long slots = 0;
        for (ZonedHost zoned : view.pool(mPool).inService()) {
            int free = mRights.free(ResourceNames.host(zoned.host().name()));
            int used = mSelect.running(zoned.host().name());
            slots += Math.min(zoned.host().slots(), (long) free + used);
        }
        return (int) slots;
    }
}
