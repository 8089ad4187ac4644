package org.marigoldturn.peer;

import io.netty.channel.ChannelHandlerContext;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.peer.wire.Pong;

/**
 * Serves a connection that another daemon opened: replies to its Hello and pings, passes other
 * messages to the handler and sends the replies back. Confined to the event loop of its connection.
 */
// A failed write or close ends the connection, which its close listener handles.
@SuppressWarnings("FutureReturnValueIgnored")
final class IncomingConnectionHandler extends AbstractConnectionHandler {
    /**
     * Time without a message after which a dead connection is closed to free its resources; the
     * side that opened it detects silence sooner.
     */
    private static final long IDLE_MILLIS = 5 * PeerContext.SILENCE_MILLIS;

    private final PeerContext mContext;
    private long mLastReceivedNanos = System.nanoTime();
    private boolean mAuthenticated;

    IncomingConnectionHandler(PeerContext context) {
        super(context);
        mContext = context;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        scheduleIdleCheck(context);
        super.channelActive(context);
    }

    @Override
    String onHello(ChannelHandlerContext context, Envelope message) {
        mAuthenticated = true;
        mLastReceivedNanos = System.nanoTime();
        reply(context, message.getCallId(), mContext.hello());
        return message.getSender();
    }

    @Override
    void onMessage(ChannelHandlerContext context, String remoteId, Envelope message) {
        mLastReceivedNanos = System.nanoTime();
        if (message.getReply()) {
            mContext.metrics().mLateReplies.inc();
        } else if (message.hasPing()) {
            mContext.listener().onPing(remoteId, message.getPing().getVersion());
            Pong pong = Pong.newBuilder().setVersion(mContext.listener().heldVersion()).build();
            reply(context, message.getCallId(), Envelope.newBuilder().setPong(pong));
        } else {
            handle(context, remoteId, message);
        }
    }

    private void handle(ChannelHandlerContext context, String remoteId, Envelope message) {
        CompletableFuture<Envelope.Builder> reply;
        try {
            reply = mContext.handler().onMessage(remoteId, message);
        } catch (RuntimeException e) {
            reply = CompletableFuture.failedFuture(e);
        }
        reply.whenComplete(
                (builder, failure) -> {
                    if (failure != null) {
                        mContext.log()
                                .warn(
                                        "cannot handle %s of %s: %s"
                                                .formatted(
                                                        message.getBodyCase(), remoteId, failure));
                    } else if (builder != null && message.getCallId() != 0) {
                        reply(context, message.getCallId(), builder);
                    }
                });
    }

    private void reply(ChannelHandlerContext context, long callId, Envelope.Builder builder) {
        Envelope message = builder.setCallId(callId).setReply(true).build();
        boolean fits = message.getSerializedSize() <= PeerContext.MAX_FRAME_BYTES;
        if (!fits || !context.channel().isWritable()) {
            mContext.metrics().mDropped.inc();
            return;
        }
        context.writeAndFlush(message);
    }

    private void scheduleIdleCheck(ChannelHandlerContext context) {
        context.executor()
                .schedule(
                        () -> closeIfIdle(context),
                        PeerContext.SILENCE_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void closeIfIdle(ChannelHandlerContext context) {
        if (!context.channel().isActive()) {
            return;
        }
        long limitMillis = mAuthenticated ? IDLE_MILLIS : PeerContext.SILENCE_MILLIS;
        long idleNanos = System.nanoTime() - mLastReceivedNanos;
        if (idleNanos >= TimeUnit.MILLISECONDS.toNanos(limitMillis)) {
            context.close();
        } else {
            scheduleIdleCheck(context);
        }
    }
}
