package org.marigoldturn.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.peer.wire.Ping;
import org.marigoldturn.settings.Member;
import org.tinylog.Logger;

/**
 * The connection that this daemon keeps open to one member.
 *
 * <p>All state except the queue counter is confined to one event loop; the methods that other
 * classes call run their work there. While the member cannot be reached, one connection attempt is
 * made per backoff interval.
 */
// A failed write or close ends the connection, which its close listener handles.
@SuppressWarnings("FutureReturnValueIgnored")
final class OutgoingConnection {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long MIN_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 2_000;
    private static final int MAX_QUEUED_MESSAGES = 1_024;

    private final PeerContext mContext;
    private final Member mMember;
    private final EventLoop mLoop;
    private final AtomicInteger mQueued = new AtomicInteger();
    private final Map<Long, PendingCall> mPending = new HashMap<>();
    private Future<?> mTicker;
    private Channel mChannel;
    private boolean mEstablished;
    private boolean mClosed;
    private boolean mReportedFailure;
    private int mFailures;
    private long mLastReceivedNanos;
    private long mLastCallId;

    /** A call that waits for its reply. */
    private record PendingCall(CompletableFuture<Envelope> reply, Future<?> timeout) {}

    OutgoingConnection(PeerContext context, Member member, EventLoop loop) {
        mContext = context;
        mMember = member;
        mLoop = loop;
    }

    void start() {
        mLoop.execute(
                () -> {
                    mTicker =
                            mLoop.scheduleWithFixedDelay(
                                    this::tick,
                                    PeerContext.PING_INTERVAL_MILLIS,
                                    PeerContext.PING_INTERVAL_MILLIS,
                                    TimeUnit.MILLISECONDS);
                    connect();
                });
    }

    /** Closes the connection permanently; pending calls fail. */
    void close() {
        mLoop.execute(
                () -> {
                    mClosed = true;
                    mTicker.cancel(false);
                    failPending("did not reply before this daemon closed the connection");
                    if (mChannel != null) {
                        mChannel.close();
                    }
                });
    }

    void send(Envelope.Builder message) {
        Envelope.Builder copy = message.clone();
        enqueue(() -> write(copy), () -> {});
    }

    CompletableFuture<Envelope> call(Envelope.Builder message, long timeoutMillis) {
        // The caller may send one builder to several members, whose event loops differ.
        Envelope.Builder copy = message.clone();
        CompletableFuture<Envelope> reply = new CompletableFuture<>();
        enqueue(
                () -> startCall(copy, timeoutMillis, reply),
                () -> fail(reply, "has a full queue or a closed connection"));
        return reply;
    }

    void ping() {
        long sentNanos = System.nanoTime();
        Ping ping = Ping.newBuilder().setVersion(mContext.listener().heldVersion()).build();
        call(Envelope.newBuilder().setPing(ping), PeerContext.SILENCE_MILLIS)
                .thenAccept(
                        reply -> {
                            if (reply.hasPong()) {
                                long version = reply.getPong().getVersion();
                                mContext.listener().onPong(mMember.id(), version, sentNanos);
                            }
                        });
    }

    private void enqueue(Runnable write, Runnable onRejected) {
        if (mQueued.incrementAndGet() > MAX_QUEUED_MESSAGES) {
            mQueued.decrementAndGet();
            mContext.metrics().mDropped.inc();
            onRejected.run();
            return;
        }
        try {
            mLoop.execute(write);
        } catch (RejectedExecutionException e) {
            mQueued.decrementAndGet();
            mContext.metrics().mDropped.inc();
            onRejected.run();
        }
    }

    private void startCall(
            Envelope.Builder message, long timeoutMillis, CompletableFuture<Envelope> reply) {
        long callId = ++mLastCallId;
        if (!write(message.setCallId(callId))) {
            reply.completeExceptionally(
                    new PeerNotReachableException(
                            "message to member "
                                    + mMember.id()
                                    + " was not sent: no connection,"
                                    + " full write buffer, or more than "
                                    + PeerContext.MAX_FRAME_BYTES
                                    + " bytes"));
            return;
        }
        Future<?> timeout =
                mLoop.schedule(
                        () -> expire(callId, timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS);
        mPending.put(callId, new PendingCall(reply, timeout));
    }

    private boolean write(Envelope.Builder builder) {
        Envelope message = builder.build();
        boolean fits = message.getSerializedSize() <= PeerContext.MAX_FRAME_BYTES;
        if (!mEstablished || !fits || !mChannel.isWritable()) {
            mQueued.decrementAndGet();
            mContext.metrics().mDropped.inc();
            return false;
        }
        mChannel.writeAndFlush(message).addListener(done -> mQueued.decrementAndGet());
        return true;
    }

    private void expire(long callId, long timeoutMillis) {
        PendingCall call = mPending.remove(callId);
        if (call != null) {
            fail(call.reply(), "did not reply within " + timeoutMillis + " ms");
        }
    }

    private void fail(CompletableFuture<Envelope> reply, String reason) {
        reply.completeExceptionally(
                new PeerException("member " + mMember.id() + " " + reason, null));
    }

    private void failPending(String reason) {
        List<PendingCall> calls = List.copyOf(mPending.values());
        mPending.clear();
        for (PendingCall call : calls) {
            call.timeout().cancel(false);
            fail(call.reply(), reason);
        }
    }

    private void tick() {
        if (mChannel == null) {
            return;
        }
        long silentNanos = System.nanoTime() - mLastReceivedNanos;
        if (silentNanos >= TimeUnit.MILLISECONDS.toNanos(PeerContext.SILENCE_MILLIS)) {
            mContext.metrics().mSilentConnections.inc();
            mChannel.close();
        } else if (mEstablished) {
            ping();
        }
    }

    private void connect() {
        if (mClosed) {
            return;
        }
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Initializer())
                .connect(mMember.address(), mMember.peerPort())
                .addListener((ChannelFuture future) -> onConnectFinished(future));
    }

    private void onConnectFinished(ChannelFuture future) {
        if (!future.isSuccess()) {
            if (isRefused(future.cause())) {
                mContext.listener().onConnectionRefused(mMember.id());
            }
            reportFailure(String.valueOf(future.cause().getMessage()));
            reconnectLater();
            return;
        }
        if (mClosed) {
            future.channel().close();
            return;
        }
        mChannel = future.channel();
        mLastReceivedNanos = System.nanoTime();
        mChannel.closeFuture().addListener(done -> onLost());
        mChannel.writeAndFlush(mContext.hello().build());
    }

    /**
     * Distinguishes a refused connection from one that timed out; both are {@link
     * ConnectException}.
     *
     * <p>An exception message in another language is not recognized; then a refused connection is
     * not reported as evidence that the member has ended.
     */
    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException
                && String.valueOf(cause.getMessage()).contains("Connection refused");
    }

    private void onLost() {
        mChannel = null;
        mEstablished = false;
        failPending("lost its connection before it replied");
        if (!mClosed) {
            reportFailure("connection lost");
            reconnectLater();
        }
    }

    private void reconnectLater() {
        long backoff = Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(mFailures, 10));
        mFailures++;
        long delay = ThreadLocalRandom.current().nextLong(backoff / 2, backoff + 1);
        mLoop.schedule(this::connect, delay, TimeUnit.MILLISECONDS);
    }

    private void reportFailure(String reason) {
        if (!mReportedFailure) {
            mReportedFailure = true;
            Logger.warn("peer: cannot reach member {}: {}; retrying", mMember.id(), reason);
        }
    }

    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            mContext.initialize(channel, new Handler());
        }
    }

    /** Reads the replies of the member. */
    private final class Handler extends AbstractConnectionHandler {
        Handler() {
            super(mContext);
        }

        @Override
        String onHello(ChannelHandlerContext context, Envelope message) {
            if (!message.getSender().equals(mMember.id())) {
                mContext.listener().onAddressTaken(mMember.id(), message.getSender());
                reportFailure("daemon " + message.getSender() + " listens at its address");
                context.close();
                return message.getSender();
            }
            mLastReceivedNanos = System.nanoTime();
            mEstablished = true;
            mReportedFailure = false;
            mFailures = 0;
            Logger.info("peer: connected to member {}.", mMember.id());
            ping();
            return message.getSender();
        }

        @Override
        void onMessage(ChannelHandlerContext context, String remoteId, Envelope message) {
            mLastReceivedNanos = System.nanoTime();
            PendingCall call = message.getReply() ? mPending.remove(message.getCallId()) : null;
            if (call == null) {
                mContext.metrics().mLateReplies.inc();
                return;
            }
            call.timeout().cancel(false);
            call.reply().complete(message);
        }
    }
}
