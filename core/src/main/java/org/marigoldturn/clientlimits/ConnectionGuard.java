package org.marigoldturn.clientlimits;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http2.Http2ConnectionHandler;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * First handler of a connection. Passes received bytes on in small parts and stops when the
 * connection has too many requests without a response or too many unread bytes, so that at most one
 * read is held back. Closes the connection when {@link ConnectionUsage} says so.
 *
 * <p>Runs on the connection's event loop; {@link #close} may be called by any thread.
 */
final class ConnectionGuard extends ChannelDuplexHandler {
    private static final int CHECK_MILLIS = 1_000;

    /** The server tells HTTP/1.1 from HTTP/2 by the first four bytes. */
    private static final int DETECTION_BYTES = 4;

    private static final int HEAD_PART_BYTES = 256;
    private static final int BODY_PART_BYTES = 1_024;
    private static final byte TLS_HANDSHAKE = 0x16;

    private final ClientGuard mGuard;
    private final ClientLimits mLimits;
    private final int mReservedPort;
    private final Deque<ByteBuf> mReceived = new ArrayDeque<>();
    private ConnectionUsage mUsage;
    private ChannelHandlerContext mContext;
    private ChannelHandlerContext mCodec;
    private ScheduledFuture<?> mTimer;
    private boolean mReserved;
    private boolean mAdmitted;
    private boolean mTls;
    private boolean mFirstRead = true;
    private boolean mDraining;
    private boolean mPaused;
    private boolean mResumeAutoRead;
    private boolean mClosing;

    ConnectionGuard(ClientGuard guard, ClientLimits limits, int reservedPort) {
        mGuard = guard;
        mLimits = limits;
        mReservedPort = reservedPort;
    }

    boolean isReserved() {
        return mReserved;
    }

    ConnectionUsage usage() {
        return mUsage;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        mUsage = new ConnectionUsage(mLimits, mGuard.nowNanos());
        mReserved =
                context.channel().localAddress() instanceof InetSocketAddress local
                        && local.getPort() == mReservedPort;
        mAdmitted = mGuard.admit(this);
        if (!mAdmitted) {
            mClosing = true;
            var unused = context.close();
            return;
        }
        mTimer =
                context.executor()
                        .scheduleWithFixedDelay(
                                this::check, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosing = true;
        releaseReceived();
        if (mAdmitted) {
            mTimer.cancel(false);
            mGuard.remove(this);
        }
        context.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mClosing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (!(message instanceof ByteBuf bytes)) {
            context.fireChannelRead(message);
            return;
        }
        if (mFirstRead && bytes.isReadable()) {
            mFirstRead = false;
            mTls = bytes.getByte(bytes.readerIndex()) == TLS_HANDSHAKE;
        }
        mReceived.add(bytes);
        drain();
    }

    /** The server's own flow control asks for reads with this; a pause takes precedence. */
    @Override
    public void read(ChannelHandlerContext context) {
        if (mPaused) {
            mResumeAutoRead = true;
            context.channel().config().setAutoRead(false);
        } else {
            context.read();
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (!(message instanceof ByteBuf bytes) || !bytes.isReadable() || mUsage == null) {
            var unused = context.write(message, promise);
            return;
        }
        int length = bytes.readableBytes();
        mUsage.responseQueued(length, mGuard.nowNanos());
        ChannelPromise taken = promise.unvoid();
        taken.addListener(
                future -> {
                    mUsage.responseTaken(length, mGuard.nowNanos());
                    changed();
                });
        var unused = context.write(message, taken);
        changed();
    }

    /** Closes the connection, with a response if no other one can be mixed up with it. */
    void close(LimitKind kind) {
        mGuard.count(kind);
        mContext.executor().execute(() -> closeNow(kind));
    }

    /** Called when the server has decoded a head; returns false if it must be dropped. */
    boolean headDecoded(int headerLines) {
        if (headerLines > mLimits.maxHeaderLines()) {
            violated(LimitKind.HEADER_LINES);
        }
        if (mClosing) {
            return false;
        }
        mUsage.headCompleted(mGuard.nowNanos());
        return true;
    }

    void requestDecoded() {
        mUsage.requestCompleted(mGuard.nowNanos());
    }

    void responseEncoded() {
        mUsage.responseCompleted(mGuard.nowNanos());
        changed();
    }

    private void drain() {
        if (mDraining) {
            return;
        }
        mDraining = true;
        try {
            while (!mReceived.isEmpty() && !mClosing && !isPauseDue()) {
                forwardPart();
            }
        } finally {
            mDraining = false;
        }
        mUsage.heldBack(mReceived.stream().mapToLong(ByteBuf::capacity).sum());
        mGuard.adjust(this);
    }

    private void forwardPart() {
        ByteBuf bytes = mReceived.peek();
        int length = Math.min(bytes.readableBytes(), partBytes());
        int lines = mTls ? 0 : countLines(bytes, length);
        boolean wasInHead = mUsage.isInHead();
        ByteBuf part = bytes.readRetainedSlice(length);
        if (!bytes.isReadable()) {
            mReceived.remove().release();
        }
        // Counted before the decoder sees it, which resets the count at the end of a head.
        mUsage.received(length, wasInHead ? lines : 0, mGuard.nowNanos());
        mContext.fireChannelRead(part);
        findCodec();
        if (!mClosing) {
            mUsage.violation(mGuard.nowNanos()).ifPresent(this::violated);
        }
    }

    private int partBytes() {
        if (mTls) {
            return BODY_PART_BYTES;
        }
        if (mCodec == null) {
            return isHttp2() ? Integer.MAX_VALUE : DETECTION_BYTES;
        }
        if (mCodec.isRemoved()) {
            return Integer.MAX_VALUE;
        }
        return mUsage.isInHead() ? HEAD_PART_BYTES : BODY_PART_BYTES;
    }

    private boolean isHttp2() {
        return mContext.pipeline().get(Http2ConnectionHandler.class) != null;
    }

    private void findCodec() {
        if (mCodec != null) {
            if (mCodec.isRemoved()) {
                mUsage.setHttp1(false);
            }
            return;
        }
        mCodec = mContext.pipeline().context(CombinedChannelDuplexHandler.class);
        if (mCodec != null) {
            mUsage.setHttp1(true);
            if (mTls) {
                // The bytes so far were the handshake; the client may wait before its first head.
                mUsage.requestCompleted(mGuard.nowNanos());
            }
            mContext.pipeline().addAfter(mCodec.name(), null, new RequestObserver(this));
        }
    }

    private static int countLines(ByteBuf bytes, int length) {
        int lines = 0;
        for (int i = 0; i < length; i++) {
            lines += bytes.getByte(bytes.readerIndex() + i) == '\n' ? 1 : 0;
        }
        return lines;
    }

    private boolean isPauseDue() {
        Optional<LimitKind> reason = mUsage.pause();
        if (reason.isPresent() && !mPaused) {
            mPaused = true;
            mResumeAutoRead = mContext.channel().config().isAutoRead();
            mContext.channel().config().setAutoRead(false);
            mGuard.count(reason.get());
        }
        return reason.isPresent();
    }

    /** Continues after a pause, or begins one, when what the connection holds has changed. */
    private void changed() {
        if (mClosing || mDraining) {
            return;
        }
        mGuard.adjust(this);
        if (mPaused != mUsage.pause().isPresent()) {
            mContext.executor().execute(this::continueReading);
        }
    }

    private void continueReading() {
        if (mClosing || isPauseDue() || !mPaused) {
            return;
        }
        mPaused = false;
        mUsage.serverPaused(mGuard.nowNanos());
        drain();
        mContext.fireChannelReadComplete();
        if (mResumeAutoRead && !mPaused && !mClosing) {
            mContext.channel().config().setAutoRead(true);
        }
    }

    private void check() {
        if (mClosing) {
            return;
        }
        long nowNanos = mGuard.nowNanos();
        if (!mContext.channel().config().isAutoRead()) {
            mUsage.serverPaused(nowNanos);
        }
        ChannelOutboundBuffer unsent = mContext.channel().unsafe().outboundBuffer();
        if (unsent != null) {
            mUsage.readProgress(unsent.currentProgress(), nowNanos);
        }
        mUsage.violation(nowNanos).ifPresent(this::violated);
    }

    private void violated(LimitKind kind) {
        mGuard.count(kind);
        closeNow(kind);
    }

    private void closeNow(LimitKind kind) {
        if (mClosing) {
            return;
        }
        mClosing = true;
        releaseReceived();
        if (kind.response().isEmpty() || mTls || !mUsage.mayRespond()) {
            var unused = mContext.close();
            return;
        }
        byte[] text =
                ("HTTP/1.1 "
                                + kind.response()
                                + "\r\nconnection: close\r\ncontent-length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
        mContext.writeAndFlush(Unpooled.wrappedBuffer(text))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private void releaseReceived() {
        mReceived.forEach(ByteBuf::release);
        mReceived.clear();
    }
}
