package org.marigoldturn.coordination;

import com.codahale.metrics.MetricRegistry;
import java.util.function.BooleanSupplier;
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
    private final BooleanSupplier mMayAct;
    private final Listener mListener;
    private final TargetOrders mOrders = new TargetOrders();
    private boolean mClosed;

    /**
     * A start order without a response yet.
     *
     * @param contact number of the contact with its target
     * @param targetMillis last known time of the target's clock
     */
    private record SentStart(Run run, long contact, long targetMillis) {}

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
            BooleanSupplier mayAct,
            Listener listener) {
        mContext = context;
        mScheduler = scheduler;
        mSessions = sessions;
        mRunLog = runLog;
        mMayAct = mayAct;
        mListener = listener;
    }

    /** Sends an order, once few others are open at its target. */
    void send(Order order) {
        if (order instanceof Order.Stop && mOrders.takeStart(order.run()).isPresent()) {
            apply(order.run(), StartOutcome.NOT_SENT);
            return;
        }
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
                sendIfAllowed(start, now);
            } else if (order instanceof Order.Stop stop) {
                sendIfKnown(stop, now);
            }
        }
    }

    /** A stop that has waited must not reach the next incarnation of its target. */
    private void sendIfKnown(Order.Stop stop, long now) {
        TargetState target = stop.run().target();
        if (mScheduler.isKnown(target)) {
            send(stop, now);
        } else {
            mOrders.onEnded(target);
        }
    }

    /** What was decided for a start that has waited may not hold any more. */
    private void sendIfAllowed(Order.Start start, long now) {
        long lease =
                mMayAct.getAsBoolean() && mScheduler.mayStart(start.run())
                        ? mSessions.grantLease(start.run().target(), now)
                        : 0;
        // What starts without a lease ends at once.
        if (lease > 0) {
            send(start, lease, now);
            return;
        }
        mOrders.onEnded(start.run().target());
        apply(start.run(), StartOutcome.NOT_SENT);
        sendNext(start.run().target());
    }

    private void send(Order.Start start, long lease, long now) {
        Run run = start.run();
        run.onOrderSent(lease);
        mRunLog.logStart(
                start,
                now - mContext.ownershipLease().confirmedMillis(),
                mScheduler.countUnreadTargets(run.target().entry().service()),
                now);
        SentStart sent =
                new SentStart(run, run.target().contact(), mSessions.lastClockMillis(run.target()));
        mContext.targets()
                .start(run.target().entry(), start, token(sent.contact()), lease)
                .whenComplete(
                        (response, failure) ->
                                mContext.control()
                                        .execute(() -> onStartResponse(sent, response, failure)));
    }

    private long token(long contact) {
        return FencingToken.of(mContext.term(), contact);
    }

    private void onStartResponse(
            SentStart sent, TargetClient.StartResponse response, Throwable failure) {
        if (mClosed) {
            return;
        }
        Run run = sent.run();
        mOrders.onEnded(run.target());
        StartOutcome known = failure == null ? response.outcome() : StartOutcome.UNKNOWN;
        if (known == StartOutcome.FENCED && mScheduler.isSuperseded(run.target(), sent.contact())) {
            known = StartOutcome.SUPERSEDED;
        }
        if (failure == null && response.targetMillis() < sent.targetMillis()) {
            mScheduler.onEarlierClock(run.target(), mContext.clocks().now());
        }
        apply(run, known);
        if (known == StartOutcome.UNKNOWN) {
            takeBackStarts(run.target());
        }
        sendNext(run.target());
    }

    /** The starts that wait at a target without a response would wait for as long again. */
    private void takeBackStarts(TargetState target) {
        for (Order.Start waiting : mOrders.takeStarts(target)) {
            apply(waiting.run(), StartOutcome.NOT_SENT);
        }
    }

    private void apply(Run run, StartOutcome outcome) {
        // A later incarnation may have accepted a start that was sent to the earlier one.
        if (outcome != StartOutcome.ACCEPTED || !mScheduler.isKnown(run.target())) {
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
                .stop(run.target().entry(), run, token(run.target().contact()))
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
        if (failure != null) {
            takeBackStarts(run.target());
        }
        sendNext(run.target());
    }

    private void count(String name) {
        mContext.metrics().counter(MetricRegistry.name(name)).inc();
    }
}
