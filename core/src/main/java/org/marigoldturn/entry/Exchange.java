package org.marigoldturn.entry;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponseWriter;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.marigoldturn.admission.QueuedRequest;
import org.marigoldturn.routing.RequestAttempts;

/**
 * One caller request on its way through the filters, with its body, its attempts and its timers.
 * Confined to its event loop, apart from {@link #execute} and {@link #triedHosts}.
 *
 * <p>Invariant: the caller gets at most one response, and {@link #end} takes effect once.
 */
final class Exchange {
    private final EventLoop mEventLoop;
    private final CallerRequest mRequest;
    private final RequestAttempts mAttempts;
    private final HttpResponseWriter mWriter;
    private final long mArrivedNanos;
    private final List<ScheduledFuture<?>> mTimers = new ArrayList<>();
    private AggregatedHttpRequest mBody;
    private Runnable mOnBodyFreed = () -> {};
    private QueuedRequest<Exchange> mQueued;
    private TargetAttempt mCurrent;
    private volatile Set<String> mTriedHosts = Set.of();
    private boolean mIdGranted;
    private boolean mHeadersSent;
    private boolean mEnded;

    /**
     * Creates an exchange.
     *
     * @param arrivedNanos monotonic time at which the headers arrived
     */
    Exchange(
            EventLoop eventLoop,
            CallerRequest request,
            RequestAttempts attempts,
            HttpResponseWriter writer,
            long arrivedNanos) {
        mEventLoop = eventLoop;
        mRequest = request;
        mAttempts = attempts;
        mWriter = writer;
        mArrivedNanos = arrivedNanos;
    }

    CallerRequest request() {
        return mRequest;
    }

    RequestAttempts attempts() {
        return mAttempts;
    }

    HttpResponseWriter writer() {
        return mWriter;
    }

    EventLoop eventLoop() {
        return mEventLoop;
    }

    AggregatedHttpRequest body() {
        return mBody;
    }

    /**
     * Sets the received body.
     *
     * @param onBodyFreed releases the memory reserved for the body; runs when the exchange ends
     */
    void setBody(AggregatedHttpRequest body, Runnable onBodyFreed) {
        mBody = body;
        mOnBodyFreed = onBodyFreed;
    }

    QueuedRequest<Exchange> queued() {
        return mQueued;
    }

    void setQueued(QueuedRequest<Exchange> queued) {
        mQueued = queued;
    }

    TargetAttempt current() {
        return mCurrent;
    }

    void setCurrent(TargetAttempt attempt) {
        mCurrent = attempt;
    }

    boolean idGranted() {
        return mIdGranted;
    }

    void setIdGranted() {
        mIdGranted = true;
    }

    boolean headersSent() {
        return mHeadersSent;
    }

    void setHeadersSent() {
        mHeadersSent = true;
    }

    /**
     * Returns the hosts of the attempts up to the last {@link #publishTriedHosts}. Safe from any
     * thread.
     */
    Set<String> triedHosts() {
        return mTriedHosts;
    }

    /** Makes the hosts of all attempts so far visible to the dispatcher of the pool. */
    void publishTriedHosts() {
        mTriedHosts = mAttempts.triedHosts();
    }

    long arrivedNanos() {
        return mArrivedNanos;
    }

    boolean ended() {
        return mEnded;
    }

    long remainingMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(mRequest.deadlineNanos() - nowNanos);
    }

    /** Runs a task on the event loop; safe from any thread. */
    void execute(Runnable task) {
        mEventLoop.execute(task);
    }

    /** Runs a task on the event loop after a delay, unless the exchange has ended by then. */
    void schedule(long delayMillis, Runnable task) {
        Runnable guarded =
                () -> {
                    if (!mEnded) {
                        task.run();
                    }
                };
        mTimers.removeIf(ScheduledFuture::isDone);
        mTimers.add(mEventLoop.schedule(guarded, delayMillis, TimeUnit.MILLISECONDS));
    }

    /** Ends the exchange: cancels its timers and releases its body. */
    void end() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mTimers.forEach(timer -> timer.cancel(false));
        mBody = null;
        mOnBodyFreed.run();
    }
}
