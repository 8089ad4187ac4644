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
import org.marigoldturn.rights.Resources;
import org.marigoldturn.rights.RightsHolder;
import org.marigoldturn.routing.PoolHosts.ZonedHost;
import org.marigoldturn.routing.TargetSelector.Selection;
import org.tinylog.Logger;

/**
 * Starts the waiting requests of one pool while hosts are free. Thread safe.
 *
 * <p>Passes over the queue are serialized without blocking: a thread that finds a pass in progress
 * leaves a mark, and the running pass repeats. So no change of the queue or of the rights is
 * missed.
 */
final class PoolDispatcher {
    /** Receives the requests that wait in the queue or leave it. */
    interface Listener {
        /** Requests are left in the queue after a request was added. */
        void onWaiting();

        /** The request starts on the host; its rights are taken. */
        void onSelected(QueuedRequest<Exchange> request, Selection selection);

        /** The request waited too long. */
        void onExpired(QueuedRequest<Exchange> request);

        /** This daemon may start no work, since its settings are not confirmed. */
        void onUnconfirmed(QueuedRequest<Exchange> request);
    }

    /** Requests that either all fit a free host or all do not. */
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
    private final AtomicInteger mWanted = new AtomicInteger();

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

    /** Starts what can start now. */
    void run() {
        if (mQueue.queued() == 0 || mWanted.getAndIncrement() != 0) {
            return;
        }
        int done = 1;
        do {
            tryPass();
            done = mWanted.addAndGet(-done);
        } while (done != 0);
    }

    /** Ends all waiting requests, so that their callers can try another daemon. */
    void refuseAll() {
        mQueue.removeAll().forEach(mListener::onUnconfirmed);
    }

    /** A fault must not stop the pool: the mark is taken back, and the next pass tries again. */
    private void tryPass() {
        try {
            pass();
        } catch (RuntimeException e) {
            Logger.error(e, "entry: pass over the queue failed. pool={}", mPool);
        }
    }

    private void pass() {
        mQueue.expire(mNowNanos.getAsLong()).forEach(mListener::onExpired);
        FleetView view = mView.get();
        int localSlots = localSlots(view);
        Set<PlacementClass> full = new HashSet<>();
        Set<QueuedRequest<Exchange>> stuck = new HashSet<>();
        while (mQueue.queued() > 0) {
            Optional<QueuedRequest<Exchange>> next =
                    mQueue.next(localSlots, request -> mayFit(request, full, stuck));
            if (next.isEmpty()) {
                return;
            }
            if (!tryStart(view, next.get())) {
                if (next.get().repeated()) {
                    stuck.add(next.get());
                } else {
                    full.add(PlacementClass.of(next.get().attachment().request()));
                }
            }
        }
    }

    private static boolean mayFit(
            QueuedRequest<Exchange> request,
            Set<PlacementClass> full,
            Set<QueuedRequest<Exchange>> stuck) {
        return request.repeated()
                ? !stuck.contains(request)
                : !full.contains(PlacementClass.of(request.attachment().request()));
    }

    /** Returns false if no host is free for the request. */
    private boolean tryStart(FleetView view, QueuedRequest<Exchange> request) {
        Exchange exchange = request.attachment();
        Optional<Selection> selection =
                mSelect.select(view, exchange.request(), exchange.triedHosts());
        if (selection.isEmpty()) {
            mQueue.pass(request);
            return false;
        }
        if (mQueue.start(request)) {
            mListener.onSelected(request, selection.get());
        } else {
            mSelect.giveBack(mPool, selection.get());
        }
        return true;
    }

    /** Slots of the pool that this daemon uses or may use now. */
    private int localSlots(FleetView view) {
        long slots = 0;
        for (ZonedHost zoned : view.pool(mPool).inService()) {
            int free = mRights.free(Resources.host(zoned.host().name()));
            int used = mSelect.running(zoned.host().name());
            slots += Math.min(zoned.host().slots(), (long) free + used);
        }
        return (int) slots;
    }
}
