package org.marigoldturn.clientlimits;

import java.util.Optional;

/**
 * What one connection holds, and which limit it exceeds. Contains no I/O.
 *
 * <p>Only the connection's event loop changes it; {@link #heldBytes} and {@link #quietSinceNanos}
 * may be read by any thread. On HTTP/2 connections, only unread bytes are tracked here; the
 * server's own limits cover the rest.
 */
final class ConnectionUsage {
    /** Estimate for an idle connection: its handlers, buffers and socket. */
    static final long CONNECTION_BYTES = 8_192;

    /** Estimate for a request that waits for its response: headers, context, log and response. */
    static final long REQUEST_BYTES = 8_192;

    /** Estimate for a header line, which takes two strings and a map entry. */
    static final long LINE_BYTES = 160;

    /**
     * The server's first frames on an HTTP/2 connection take less; a response comes on top of them.
     */
    static final long HTTP2_SERVED_BYTES = 96;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ClientLimits mLimits;
    private boolean mHttp1;
    private boolean mInHead = true;
    private boolean mHeadStarted;
    private int mHeadLines;
    private long mPartBytes;
    private long mPartSinceNanos;
    private int mPendingRequests;
    private long mUnreadBytes;
    private long mReadSinceNanos;
    private long mReadProgress;
    private long mTakenBytes;
    private long mHeldBackBytes;
    private volatile boolean mHasServed;
    private volatile long mHeldBytes = CONNECTION_BYTES;
    private volatile long mQuietSinceNanos;

    ConnectionUsage(ClientLimits limits, long nowNanos) {
        mLimits = limits;
        mQuietSinceNanos = nowNanos;
    }

    void setHttp1(boolean http1) {
        mHttp1 = http1;
    }

    /** Returns whether the next bytes belong to the head of an HTTP/1.1 request. */
    boolean isInHead() {
        return mHttp1 && mInHead;
    }

    /** Records bytes that were received and did not complete a head or a request. */
    void received(int bytes, int lines, long nowNanos) {
        if (!mHeadStarted) {
            mHeadStarted = true;
            mPartSinceNanos = nowNanos;
        }
        mPartBytes += bytes;
        mHeadLines += mInHead ? lines : 0;
        update();
    }

    void headCompleted(long nowNanos) {
        mInHead = false;
        mHeadStarted = true;
        mPendingRequests++;
        startPart(nowNanos);
    }

    void requestCompleted(long nowNanos) {
        mInHead = true;
        mHeadStarted = false;
        startPart(nowNanos);
    }

    void responseCompleted(long nowNanos) {
        mPendingRequests = Math.max(0, mPendingRequests - 1);
        mHasServed = true;
        mQuietSinceNanos = nowNanos;
        update();
    }

    void responseQueued(int bytes, long nowNanos) {
        if (mUnreadBytes == 0) {
            mReadSinceNanos = nowNanos;
        }
        mUnreadBytes += bytes;
        update();
    }

    void responseTaken(int bytes, long nowNanos) {
        mUnreadBytes -= bytes;
        mReadSinceNanos = nowNanos;
        mTakenBytes += bytes;
        if (!mHttp1 && mTakenBytes > HTTP2_SERVED_BYTES) {
            mHasServed = true;
            mQuietSinceNanos = nowNanos;
        }
        update();
    }

    /** Records the size of buffers that were received and not passed on because of a pause. */
    void heldBack(long bytes) {
        mHeldBackBytes = bytes;
        update();
    }

    /** Restarts the time for the head or body, because the server itself was not reading. */
    void serverPaused(long nowNanos) {
        mPartSinceNanos = nowNanos;
    }

    /** Records how much of the next buffer the client has taken. */
    void readProgress(long progress, long nowNanos) {
        if (progress != mReadProgress) {
            mReadProgress = progress;
            mReadSinceNanos = nowNanos;
        }
    }

    /** Returns why nothing more may be read from the connection now. */
    Optional<LimitKind> pause() {
        if (mUnreadBytes > mLimits.maxUnreadBytes()) {
            return Optional.of(LimitKind.UNREAD);
        }
        return mHttp1 && mPendingRequests >= mLimits.maxPipelinedRequests()
                ? Optional.of(LimitKind.PIPELINED)
                : Optional.empty();
    }

    /** Returns the limit for which the connection has to be closed. */
    Optional<LimitKind> violation(long nowNanos) {
        if (mUnreadBytes > 0 && isOver(mReadSinceNanos, mLimits.readTimeoutMillis(), nowNanos)) {
            return Optional.of(LimitKind.READ_TIME);
        }
        if (!mHttp1 || !mHeadStarted) {
            return Optional.empty();
        }
        if (mInHead && mHeadLines > mLimits.maxHeaderLines()) {
            return Optional.of(LimitKind.HEADER_LINES);
        }
        if (mInHead) {
            return isOver(mPartSinceNanos, mLimits.headTimeoutMillis(), nowNanos)
                    ? Optional.of(LimitKind.HEAD_TIME)
                    : Optional.empty();
        }
        return isOver(mPartSinceNanos, mLimits.bodyTimeoutMillis() + mPartBytes, nowNanos)
                ? Optional.of(LimitKind.BODY_TIME)
                : Optional.empty();
    }

    /** Returns whether a response may still be written without mixing it with another one. */
    boolean mayRespond() {
        return isInHead() && mPendingRequests == 0 && mUnreadBytes == 0;
    }

    /** Returns whether at least one response was completed. */
    boolean hasServed() {
        return mHasServed;
    }

    /** Returns the time of the last completed response, or of the connection's start. */
    long quietSinceNanos() {
        return mQuietSinceNanos;
    }

    /** Returns the estimated memory that the connection takes. */
    long heldBytes() {
        return mHeldBytes;
    }

    private static boolean isOver(long sinceNanos, long limitMillis, long nowNanos) {
        return nowNanos - sinceNanos > limitMillis * NANOS_PER_MILLI;
    }

    private void startPart(long nowNanos) {
        mHeadLines = 0;
        mPartBytes = 0;
        mPartSinceNanos = nowNanos;
        update();
    }

    private void update() {
        mHeldBytes =
                CONNECTION_BYTES
                        + (mHttp1 ? mPartBytes : 0)
                        + mHeadLines * LINE_BYTES
                        + mPendingRequests * REQUEST_BYTES
                        + mHeldBackBytes
                        + mUnreadBytes;
    }
}
