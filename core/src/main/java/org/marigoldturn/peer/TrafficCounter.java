package org.marigoldturn.peer;

import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes or the messages that pass through its position in the pipeline. */
@ChannelHandler.Sharable
// The caller's promise reports the result of a write.
@SuppressWarnings("FutureReturnValueIgnored")
final class TrafficCounter extends ChannelDuplexHandler {
    private final PeerMetrics mMetrics;

    TrafficCounter(PeerMetrics metrics) {
        mMetrics = metrics;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf buffer) {
            mMetrics.mBytesReceived.inc(buffer.readableBytes());
        } else if (message instanceof MessageLite) {
            mMetrics.mMessagesReceived.inc();
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf buffer) {
            mMetrics.mBytesSent.inc(buffer.readableBytes());
        } else if (message instanceof MessageLite) {
            mMetrics.mMessagesSent.inc();
        }
        context.write(message, promise);
    }
}
