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
 * One attempt to run a request on a target. Reads the target's response to its end, and passes it
 * to the caller until the attempt is detached. Runs on the event loop of the exchange, apart from
 * {@link #tryRelease} and {@link #stop}.
 *
 * <p>Invariant: the rights of the attempt are released once.
 */
final class TargetAttempt implements Subscriber<HttpObject> {
    /** Limits the memory for a response whose caller reads slowly. */
    static final long MAX_UNREAD_BYTES = 4L << 20;

    /**
     * Longest pause in reading from a connection that other requests share; a longer one would make
     * them miss their deadlines.
     */
    static final long MAX_PAUSE_MILLIS = 500;

    private static final long UNKNOWN_LENGTH = -1;

    /** Handles the events of an attempt. */
    interface Listener {
        /** Handles the final response headers; returns whether the response goes to the caller. */
        boolean onResponseHeaders(TargetAttempt attempt, ResponseHeaders headers);

        /** Passes a part of the response on; returns false if the caller has disconnected. */
        boolean onPart(TargetAttempt attempt, HttpObject part);

        /** The caller read nothing for too long while much of the response is buffered. */
        void onCallerTooSlow(TargetAttempt attempt);

        /** The response ended; {@code failure} is null if the protocol reported no error. */
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
    private ResponseHeaders mResponseHeaders;
    private boolean mDetached;
    private boolean mHealthReported;
    private long mExpectedBytes = UNKNOWN_LENGTH;
    private long mReceivedBytes;
    private int mPauses;

    /**
     * Bytes that were passed on but not yet read by the caller; decreased when the caller reads
     * them.
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
    ResponseHeaders responseHeaders() {
        return mResponseHeaders;
    }

    boolean detached() {
        return mDetached;
    }

    /**
     * Stops passing the response to the caller. The rest is read and discarded, because the end of
     * the response proves that the target no longer runs the request.
     */
    void detach() {
        mDetached = true;
        if (mExchange.current() == this) {
            mExchange.setCurrent(null);
        }
    }

    /** Continues to read after a pause in which the caller read nothing. */
    void resume() {
        mSubscription.request(1);
    }

    /**
     * Returns true only for the first call, which must release the rights. Safe from any thread.
     */
    boolean tryRelease() {
        return mReleased.compareAndSet(false, true);
    }

    /** Returns whether the rights were released. */
    boolean released() {
        return mReleased.get();
    }

    /** Returns true only for the first call, which must report the outcome to the host's health. */
    boolean tryReportHealth() {
        boolean first = !mHealthReported;
        mHealthReported = true;
        return first;
    }

    /** Aborts the stream to the target. Safe from any thread. */
    void stop() {
        mResponse.abort();
    }

    /** Returns whether headers arrived and the body has the announced length, if there is one. */
    boolean isComplete() {
        return mResponseHeaders != null
                && (mExpectedBytes == UNKNOWN_LENGTH || mExpectedBytes == mReceivedBytes);
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        mSubscription = subscription;
        subscription.request(1);
    }

    @Override
    public void onNext(HttpObject object) {
        if (object instanceof ResponseHeaders headers && mResponseHeaders == null) {
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
        mResponseHeaders = headers;
        boolean bodyExpected =
                mMethod != HttpMethod.HEAD
                        && !headers.status().equals(HttpStatus.NOT_MODIFIED)
                        && !headers.status().equals(HttpStatus.NO_CONTENT);
        if (bodyExpected) {
            mExpectedBytes = headers.getLong(HttpHeaderNames.CONTENT_LENGTH, UNKNOWN_LENGTH);
        }
        if (!mDetached && !mListener.onResponseHeaders(this, headers)) {
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
     * Reads the next part at once unless more than {@link #MAX_UNREAD_BYTES} are unread by the
     * caller; then reading pauses. A pause delays all responses on a shared connection, so there it
     * lasts at most {@link #MAX_PAUSE_MILLIS}.
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
                        .whenComplete(
                                (done, disconnected) -> onConsumed(bytes, pause, pauseNumber));
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
