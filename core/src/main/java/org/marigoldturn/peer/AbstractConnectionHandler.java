package org.marigoldturn.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.util.Objects;
import org.marigoldturn.peer.wire.Envelope;

/**
 * Base class of the handlers of incoming and outgoing connections. Requires a Hello as the first
 * message, checks the sender of each further message, and closes the connection on malformed input.
 * Confined to the event loop of its connection.
 */
// A failed write or close ends the connection, which its close listener handles.
@SuppressWarnings("FutureReturnValueIgnored")
abstract class AbstractConnectionHandler extends SimpleChannelInboundHandler<Envelope> {
    private final PeerContext mContext;
    private LimitedFrameDecoder mFrames;
    private String mRemoteId;
    private boolean mRejected;

    AbstractConnectionHandler(PeerContext context) {
        mContext = context;
    }

    /**
     * Handles the first message, a Hello with the right token; returns the id of the remote daemon.
     */
    abstract String onHello(ChannelHandlerContext context, Envelope message);

    abstract void onMessage(ChannelHandlerContext context, String remoteId, Envelope message);

    final void setFrameDecoder(LimitedFrameDecoder frames) {
        mFrames = frames;
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext context, Envelope message) {
        if (mRejected) {
            return;
        }
        if (mRemoteId == null) {
            readHello(context, message);
        } else if (!message.getSender().isEmpty() && !message.getSender().equals(mRemoteId)) {
            reject(
                    context,
                    "message with sender "
                            + message.getSender()
                            + " on the connection of "
                            + mRemoteId);
        } else if (message.hasHello()) {
            reject(context, "second Hello from " + mRemoteId);
        } else {
            onMessage(context, mRemoteId, message);
        }
    }

    private void readHello(ChannelHandlerContext context, Envelope message) {
        if (!message.hasHello() || message.getSender().isEmpty()) {
            reject(context, "the first message must be a Hello with a sender");
        } else if (!mContext.hasToken(message.getHello())) {
            reject(context, "wrong token from a daemon that calls itself " + message.getSender());
        } else {
            mRemoteId = onHello(context, message);
            mFrames.setMaxFrameBytes(PeerContext.MAX_FRAME_BYTES);
        }
    }

    /** Closes the connection and logs the reason once. */
    final void reject(ChannelHandlerContext context, String reason) {
        if (!mRejected) {
            mRejected = true;
            mContext.metrics().mRejectedConnections.inc();
            mContext.log()
                    .warn(
                            "closed the connection with %s: %s."
                                    .formatted(context.channel().remoteAddress(), reason));
        }
        context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            Throwable origin = Objects.requireNonNullElse(cause.getCause(), cause);
            reject(context, "malformed input, " + origin.getMessage());
            return;
        }
        mContext.log().warn("lost the connection with " + context.channel() + ": " + cause);
        context.close();
    }
}
