package org.marigoldturn.coordination;

import com.codahale.metrics.MetricRegistry;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.Order;
import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.StartOutcome;
import org.marigoldturn.scheduling.TargetState;

/**
 * Sends the scheduler's orders to targets and passes their responses back to it. Confined to the
 * control thread.
 */
final class OrderSender {
    private final OwnerContext mContext;
    private final JobScheduler mScheduler;
    private final TargetSessions mSessions;
    private final RunLog mRunLog;
    private final Listener mListener;
    private final TargetOrders mOrders = new TargetOrders();
    private boolean mClosed;

    /** Is notified of what the targets' responses imply for the owner. */
    interface Listener {
        /** The target has seen the higher term of a newer owner. */
        void onFenced(TargetState target);

        /** The scheduler may have new decisions to make. */
        void requestScheduling();
    }

    OrderSender(
            OwnerContext context,
            JobScheduler scheduler,
            TargetSessions sessions,
            RunLog runLog,
            Listener listener) {
        mContext = context;
        mScheduler = scheduler;
        mSessions = sessions;
        mRunLog = runLog;
        mListener = listener;
    }

    /** Sends an order, once few others are open at its target. */
    void send(Order order) {
        mOrders.add(order);
        sendNext(order.run().target());
    }

    /** Ends all sending; orders that wait are dropped. */
    void close() {
        mClosed = true;
        mOrders.clear();
    }

    private void sendNext(TargetState target) {
        for (Order order : mOrders.takeSendable(target)) {
            long now = mContext.clocks().now();
            if (order instanceof Order.Start start) {
                send(start, now);
            } else if (order instanceof Order.Stop stop) {
                send(stop, now);
            }
        }
    }

    private void send(Order.Start start, long now) {
        Run run = start.run();
        long lease = mSessions.grantLease(run.target(), now);
        run.onOrderSent(lease);
        mRunLog.logStart(
                start,
                now - mContext.ownershipLease().confirmedMillis(),
                mScheduler.countUnreadTargets(run.target().entry().service()),
                now);
        mContext.targets()
                .start(run.target().entry(), start, mContext.term(), lease)
                .whenComplete(
                        (outcome, failure) ->
                                mContext.control()
                                        .execute(() -> onStartResponse(run, outcome, failure)));
    }

    private void onStartResponse(Run run, StartOutcome outcome, Throwable failure) {
        if (mClosed) {
            return;
        }
        mOrders.onEnded(run.target());
        StartOutcome known = failure == null ? outcome : StartOutcome.UNKNOWN;
        if (known == StartOutcome.UNKNOWN) {
            // They would wait for as long as this one did.
            for (Order.Start waiting : mOrders.takeStarts(run.target())) {
                apply(waiting.run(), StartOutcome.NOT_SENT);
            }
        }
        apply(run, known);
        sendNext(run.target());
    }

    private void apply(Run run, StartOutcome outcome) {
        if (outcome != StartOutcome.ACCEPTED) {
            mRunLog.logStartResponse(run, outcome, mContext.clocks().now());
        }
        if (outcome == StartOutcome.FENCED) {
            mListener.onFenced(run.target());
            return;
        }
        count("runs.started." + outcome);
        mScheduler.onStartResponse(run, outcome, mContext.clocks().now());
        if (outcome != StartOutcome.ACCEPTED) {
            mListener.requestScheduling();
        }
    }

    private void send(Order.Stop stop, long now) {
        Run run = stop.run();
        mRunLog.logStop(run, now);
        mContext.targets()
                .stop(run.target().entry(), run, mContext.term())
                .whenComplete(
                        (done, failure) ->
                                mContext.control().execute(() -> onStopResponse(run, failure)));
    }

    private void onStopResponse(Run run, Throwable failure) {
        if (mClosed) {
            return;
        }
        mOrders.onEnded(run.target());
        mScheduler.onStopResponse(run, failure == null, mContext.clocks().now());
        sendNext(run.target());
    }

    private void count(String name) {
        mContext.metrics().counter(MetricRegistry.name(name)).inc();
    }
}
