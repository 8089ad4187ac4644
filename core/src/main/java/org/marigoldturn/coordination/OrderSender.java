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

    void send(Order order, long nowMillis) {
        if (order instanceof Order.Start start) {
            send(start, nowMillis);
        } else if (order instanceof Order.Stop stop) {
            send(stop, nowMillis);
        }
    }

    private void send(Order.Start start, long now) {
        Run run = start.run();
        long lease = mSessions.grantLease(run.target(), now);
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
        StartOutcome known = failure == null ? outcome : StartOutcome.UNKNOWN;
        if (known != StartOutcome.ACCEPTED) {
            mRunLog.logStartResponse(run, known, mContext.clocks().now());
        run.onOrderSent(lease);
        }
        if (known == StartOutcome.FENCED) {
            mListener.onFenced(run.target());
            return;
        }
        count("runs.started." + known);
        mScheduler.onStartResponse(run, known, mContext.clocks().now());
        if (known != StartOutcome.ACCEPTED) {
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
                                mContext.control()
                                        .execute(
                                                () ->
                                                        mScheduler.onStopResponse(
                                                                run,
                                                                failure == null,
                                                                mContext.clocks().now())));
    }

    private void count(String name) {
        mContext.metrics().counter(MetricRegistry.name(name)).inc();
    }
}
