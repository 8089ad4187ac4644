package org.marigoldturn.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marigoldturn.scheduling.Order;
import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.TargetState;

/**
 * Holds the orders that wait to be sent, so that few are open at a target at a time.
 *
 * <p>An open call occupies a connection of its own, and a target takes a limited number of them
 * from all daemons, including those of hosts that have lost power. Invariants: at most {@link
 * #MAX_OPEN_ORDERS} orders are open at a target; stop orders come first. Confined to the control
 * thread.
 */
final class TargetOrders {
    /** Orders that are open at a target at a time; a response takes about a round trip. */
    static final int MAX_OPEN_ORDERS = 2;

    private final Map<TargetState, Queue> mQueues = new HashMap<>();

    private static final class Queue {
        private final Deque<Order.Stop> mStops = new ArrayDeque<>();
        private final Deque<Order.Start> mStarts = new ArrayDeque<>();
        private int mOpen;

        private Order takeNext() {
            dropWithdrawnStops();
            if (mOpen >= MAX_OPEN_ORDERS || mStops.isEmpty() && mStarts.isEmpty()) {
                return null;
            }
            mOpen++;
            return mStops.isEmpty() ? mStarts.remove() : mStops.remove();
        }

        private void dropWithdrawnStops() {
            while (!mStops.isEmpty() && mStops.peek().run().isStopWithdrawn()) {
                mStops.remove().run().onStopNotSent();
            }
        }
    }

    /** Removes the start order of a run if it waits; it needs no stop order then. */
    Optional<Order.Start> takeStart(Run run) {
        Queue queue = mQueues.get(run.target());
        if (queue == null) {
            return Optional.empty();
        }
        Optional<Order.Start> waiting =
                queue.mStarts.stream().filter(start -> start.run() == run).findFirst();
        waiting.ifPresent(queue.mStarts::remove);
        return waiting;
    }

    /** Adds an order to the ones that wait for its target. */
    void add(Order order) {
        Queue queue = mQueues.computeIfAbsent(order.run().target(), target -> new Queue());
        if (order instanceof Order.Stop stop) {
            queue.mStops.add(stop);
        } else if (order instanceof Order.Start start) {
            queue.mStarts.add(start);
        }
    }

    /** Removes the orders that may be sent to a target now, and counts them as open. */
    List<Order> takeSendable(TargetState target) {
        List<Order> sendable = new ArrayList<>();
        Queue queue = mQueues.get(target);
        Order next = queue == null ? null : queue.takeNext();
        while (next != null) {
            sendable.add(next);
            next = queue.takeNext();
        }
        return sendable;
    }

    /** Records that an order has ended, with or without a response. */
    void onEnded(TargetState target) {
        Queue queue = mQueues.get(target);
        if (queue != null) {
            queue.mOpen--;
            if (queue.mOpen == 0 && queue.mStops.isEmpty() && queue.mStarts.isEmpty()) {
                mQueues.remove(target);
            }
        }
    }

    /** Removes the start orders that wait for a target. */
    List<Order.Start> takeStarts(TargetState target) {
        Queue queue = mQueues.get(target);
        if (queue == null) {
            return List.of();
        }
        List<Order.Start> starts = List.copyOf(queue.mStarts);
        queue.mStarts.clear();
        return starts;
    }

    /** Removes all orders. */
    void clear() {
        mQueues.clear();
    }
}
