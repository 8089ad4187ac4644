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
            Listener listener) {
        mContext = context;
        mScheduler = scheduler;
        mSessions = sessions;
        mListener = listener;
    }

    void send(Order order, long nowMillis) {
        if (order instanceof Order.Start start) {
            send(start, nowMillis);
        } else if (order instanceof Order.Stop stop) {
            send(stop);
        }
    }

    private void send(Order.Start start, long now) {
        Run run = start.run();
        long lease = mSessions.grantLease(run.target(), now);
        RunLog.logOrder("start", run);
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
            RunLog.logStartResponse(run, known);
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

    private void send(Order.Stop stop) {
        Run run = stop.run();
        RunLog.logOrder("stop", run);
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
