package org.marigoldturn.entry;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.marigoldturn.admission.QueuedRequest;
import org.marigoldturn.routing.TargetSelector.Selection;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * One attempt: reads the target's answer to its end, and passes it on while the exchange waits for
 * it. Runs on the event loop of the exchange, apart from {@link #tryRelease} and {@link #stop}.
 *
 * <p>Invariant: the rights of the attempt are released once.
 */
final class TargetAttempt implements Subscriber<HttpObject> {
    /** Bounds the memory for one answer whose caller reads slowly. */
    static final long MAX_UNREAD_BYTES = 4L << 20;

    /** A longer pause would make the deadlines of other requests on the connection pass. */
    static final long MAX_PAUSE_MILLIS = 500;

    private static final long UNKNOWN_LENGTH = -1;

    /** Decides what follows from the events of an attempt. */
    interface Listener {
        /** Returns whether the answer is passed to the caller. */
        boolean onHead(TargetAttempt attempt, ResponseHeaders headers);

        /** Passes a part on; returns false if the caller has gone. */
        boolean onPart(TargetAttempt attempt, HttpObject part);

        /** The caller took nothing for too long while much of the answer waits. */
        void onCallerTooSlow(TargetAttempt attempt);

        /** The answer ended; {@code failure} is null if the protocol reported no error. */
        void onEnd(TargetAttempt attempt, Throwable failure);
    }

    private final Exchange mExchange;
    private final QueuedRequest<Exchange> mQueued;
    private final Selection mSelection;
    private final HttpResponse mResponse;
    private final HttpMethod mMethod;
    private final boolean mSharesConnection;
    private final long mStartedNanos;
    private final Listener mListener;
    private final AtomicBoolean mReleased = new AtomicBoolean();
    private Subscription mSubscription;
    private ResponseHeaders mHead;
    private boolean mDetached;
    private boolean mHealthReported;
    private long mExpectedBytes = UNKNOWN_LENGTH;
    private long mReceivedBytes;
    private int mPauses;

    /**
     * Bytes that were passed on and not taken by the caller; updated when the caller takes some.
     */
    private final AtomicLong mUnreadBytes = new AtomicLong();

    private final AtomicInteger mLastEndedPause = new AtomicInteger();

    TargetAttempt(
            Exchange exchange,
            QueuedRequest<Exchange> queued,
            Selection selection,
            HttpResponse response,
            long startedNanos,
            Listener listener) {
        mExchange = exchange;
        mQueued = queued;
        mSelection = selection;
        mResponse = response;
        mMethod = exchange.body().method();
        mSharesConnection = SelectFilter.isMultiplexed(exchange.request());
        mStartedNanos = startedNanos;
        mListener = listener;
    }

    Exchange exchange() {
        return mExchange;
    }

    QueuedRequest<Exchange> queued() {
        return mQueued;
    }

    Selection selection() {
        return mSelection;
    }

    long startedNanos() {
        return mStartedNanos;
    }

    /** Returns the target's response headers, or null if none arrived. */
    ResponseHeaders head() {
        return mHead;
    }

    boolean detached() {
        return mDetached;
    }

    /** Stops passing the answer on; the rest is read and discarded, since it proves the end. */
    void detach() {
        mDetached = true;
        if (mExchange.current() == this) {
            mExchange.setCurrent(null);
        }
    }

    /** Reads on after a pause that was given up. */
    void resume() {
        mSubscription.request(1);
    }

    /** Returns true once: the caller then releases the rights. Safe from any thread. */
    boolean tryRelease() {
        return mReleased.compareAndSet(false, true);
    }

    /** Returns whether the rights were released. */
    boolean released() {
        return mReleased.get();
    }

    /** Returns true once: the caller then reports the outcome to the health of the host. */
    boolean tryReportHealth() {
        boolean first = !mHealthReported;
        mHealthReported = true;
        return first;
    }

    /** Gives up the stream to the target. Safe from any thread. */
    void stop() {
        mResponse.abort();
    }

    /** Returns whether the body has the length that the target announced. */
    boolean isComplete() {
        return mHead != null
                && (mExpectedBytes == UNKNOWN_LENGTH || mExpectedBytes == mReceivedBytes);
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        mSubscription = subscription;
        subscription.request(1);
    }

    @Override
    public void onNext(HttpObject object) {
        if (object instanceof ResponseHeaders headers && mHead == null) {
            onHeaders(headers);
        } else if (object instanceof HttpData data) {
            mReceivedBytes += data.length();
            onPart(data);
        } else {
            onPart(object);
        }
    }

    @Override
    public void onError(Throwable failure) {
        mListener.onEnd(this, failure);
    }

    @Override
    public void onComplete() {
        mListener.onEnd(this, null);
    }

    private void onHeaders(ResponseHeaders headers) {
        if (headers.status().isInformational()) {
            mSubscription.request(1);
            return;
        }
        mHead = headers;
        boolean bodyExpected =
                mMethod != HttpMethod.HEAD
                        && !headers.status().equals(HttpStatus.NOT_MODIFIED)
                        && !headers.status().equals(HttpStatus.NO_CONTENT);
        if (bodyExpected) {
            mExpectedBytes = headers.getLong(HttpHeaderNames.CONTENT_LENGTH, UNKNOWN_LENGTH);
        }
        if (!mDetached && !mListener.onHead(this, headers)) {
            detach();
        }
        continueReading(0);
    }

    private void onPart(HttpObject part) {
        if (mDetached) {
            close(part);
        } else if (!mListener.onPart(this, part)) {
            detach();
        }
        continueReading(part instanceof HttpData data ? data.length() : 0);
    }

    /**
     * Reads on at once while little waits for the caller. A pause would delay all answers on the
     * same connection, so it lasts at most {@link #MAX_PAUSE_MILLIS}.
     */
    private void continueReading(int bytes) {
        if (mDetached) {
            mSubscription.request(1);
            return;
        }
        mUnreadBytes.addAndGet(bytes);
        boolean pause = mUnreadBytes.get() > MAX_UNREAD_BYTES;
        int pauseNumber = ++mPauses;
        var unused =
                mExchange
                        .writer()
                        .whenConsumed()
                        .whenComplete((done, gone) -> onConsumed(bytes, pause, pauseNumber));
        if (pause && mSharesConnection) {
            mExchange.schedule(MAX_PAUSE_MILLIS, () -> checkPause(pauseNumber));
        }
        if (!pause) {
            mSubscription.request(1);
        }
    }

    private void onConsumed(int bytes, boolean paused, int pauseNumber) {
        mUnreadBytes.addAndGet(-bytes);
        if (paused) {
            mLastEndedPause.set(pauseNumber);
            mSubscription.request(1);
        }
    }

    private void checkPause(int pauseNumber) {
        if (mLastEndedPause.get() != pauseNumber && mPauses == pauseNumber && !mDetached) {
            mListener.onCallerTooSlow(this);
        }
    }

    private static void close(HttpObject part) {
        if (part instanceof HttpData data) {
            data.close();
        }
    }
}
