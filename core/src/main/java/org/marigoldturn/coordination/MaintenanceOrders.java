package org.marigoldturn.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.tinylog.Logger;

/**
 * Sends the maintenance orders of one wave.
 *
 * <p>Invariants: an order is sent only once the store has recorded it and while no other daemon can
 * be the owner, so each later owner knows the hosts on which maintenance may still begin. An order
 * is open until its outcome is certain and is repeated meanwhile, which is safe. Confined to the
 * control thread.
 */
final class MaintenanceOrders {
    private static final long RETRY_MILLIS = 1_000;

    private final long mWaveNumber;
    private final OwnerContext mContext;
    private final Listener mListener;
    private final Map<String, Order> mOpen = new HashMap<>();
    private boolean mClosed;

    /** The wave to which the orders belong. */
    interface Listener {
        /** Records the open orders; completes once they are stored. */
        CompletableFuture<Void> recordOrders();

        /** Returns whether maintenance may end now what runs on a host with an open order. */
        boolean mayBegin(String host, long nowMillis);

        /** Handles the outcome of an order, which is not open any more. */
        void onOutcome(String host, HostClient.HostOrderOutcome outcome);

        /** Requests the host list, which tells what an order without an outcome has led to. */
        void requestList();
    }

    private enum State {
        RECORDING,
        SENT,
        UNANSWERED,
        /** The host service refused a repetition: the host is in maintenance, moving or down. */
        BUSY;

        boolean repeats() {
            return this == UNANSWERED || this == BUSY;
        }
    }

    /**
     * An open order.
     *
     * @param mayHaveBegun whether an earlier attempt, maybe of an earlier owner, got no response
     * @param sinceMillis monotonic time since which it is in its state
     */
    private record Order(State state, boolean mayHaveBegun, long sinceMillis) {
        boolean isDue(long nowMillis) {
            return state.repeats() && nowMillis - sinceMillis >= RETRY_MILLIS;
        }
    }

    MaintenanceOrders(long waveNumber, OwnerContext context, Listener listener) {
        mWaveNumber = waveNumber;
        mContext = context;
        mListener = listener;
    }

    /** Adds an order that an earlier owner has recorded. */
    void restore(String host) {
        mOpen.put(host, new Order(State.UNANSWERED, true, Long.MIN_VALUE / 2));
    }

    /** Returns the hosts with an open order; the set follows later changes. */
    Set<String> hosts() {
        return mOpen.keySet();
    }

    boolean isOpen(String host) {
        return mOpen.containsKey(host);
    }

    /** Sends nothing any more. */
    void close() {
        mClosed = true;
    }

    /** Records an order and sends it then, if maintenance may still begin. */
    void open(String host, long nowMillis) {
        Order order = new Order(State.RECORDING, false, nowMillis);
        mOpen.put(host, order);
        mListener.recordOrders().thenRun(() -> onRecorded(host, order));
    }

    private void onRecorded(String host, Order order) {
        if (mClosed || mOpen.get(host) != order) {
            return;
        }
        long now = mContext.clocks().now();
        if (maySend(host, now)) {
            send(host, order, now);
        } else {
            end(host, HostClient.HostOrderOutcome.BUSY);
        }
    }

    /** Gives up the orders that have not been sent. */
    void withdrawUnsent() {
        for (Map.Entry<String, Order> order : Map.copyOf(mOpen).entrySet()) {
            if (order.getValue().state() == State.RECORDING) {
                end(order.getKey(), HostClient.HostOrderOutcome.BUSY);
            }
        }
    }

    /** Repeats the orders whose outcome is uncertain. */
    void repeat(long nowMillis) {
        for (Map.Entry<String, Order> order : Map.copyOf(mOpen).entrySet()) {
            if (order.getValue().isDue(nowMillis) && maySend(order.getKey(), nowMillis)) {
                send(order.getKey(), order.getValue(), nowMillis);
            }
        }
    }

    /** Ends the order for a host that was busy if the host list shows that it is down. */
    void onListed(String host, HostClient.HostStatus status, long requestedMillis) {
        Order order = mOpen.get(host);
        if (order != null
                && order.state() == State.BUSY
                && requestedMillis > order.sinceMillis()
                && status.down()) {
            end(host, HostClient.HostOrderOutcome.BUSY);
        }
    }

    private boolean maySend(String host, long nowMillis) {
        return !mClosed
                && mContext.ownershipLease().isCertain(nowMillis, mContext.clocks().epoch())
                && mListener.mayBegin(host, nowMillis);
    }

    private void send(String host, Order order, long nowMillis) {
        mOpen.put(host, new Order(State.SENT, order.mayHaveBegun(), nowMillis));
        mContext.hosts()
                .orderMaintenance(host, mWaveNumber, mContext.self().host(), mContext.term())
                .whenComplete(
                        (outcome, failure) ->
                                mContext.control()
                                        .execute(() -> onResponse(host, outcome, failure)));
    }

    private void onResponse(String host, HostClient.HostOrderOutcome outcome, Throwable failure) {
        Logger.info(
                "upkeep: event=answer wave={} host={} outcome={} cause={}",
                mWaveNumber,
                host,
                outcome,
                failure == null ? "-" : failure.getMessage());
        if (mClosed) {
            return;
        }
        long now = mContext.clocks().now();
        if (failure != null || outcome == HostClient.HostOrderOutcome.UNKNOWN) {
            mOpen.put(host, new Order(State.UNANSWERED, true, now));
        } else if (outcome == HostClient.HostOrderOutcome.FENCED) {
            mContext.onFenced().run();
        } else if (outcome == HostClient.HostOrderOutcome.BUSY && mOpen.get(host).mayHaveBegun()) {
            mOpen.put(host, new Order(State.BUSY, true, now));
            mListener.requestList();
        } else {
            end(host, outcome);
        }
    }

    private void end(String host, HostClient.HostOrderOutcome outcome) {
        mOpen.remove(host);
        mListener.onOutcome(host, outcome);
    }
}
