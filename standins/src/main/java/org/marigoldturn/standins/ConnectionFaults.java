package org.marigoldturn.standins;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Faults of the connections of one server: closed at once, or open without delivering data.
 *
 * <p>Connections to the admin port are exempt. Thread safe.
 */
final class ConnectionFaults {
    private final Set<Gate> mOpen = ConcurrentHashMap.newKeySet();
    private volatile int mAdminPort;
    private final LongAdder mBytesReceived = new LongAdder();
    private final LongAdder mBytesSent = new LongAdder();
    private volatile boolean mDown;

    /** Returns the bytes received on connections to the port for calls. */
    long bytesReceived() {
        return mBytesReceived.sum();
    }

    /** Returns the bytes sent on connections to the port for calls. */
    long bytesSent() {
        return mBytesSent.sum();
    }

    /** Sets the port whose connections have no faults. */
    void exempt(int adminPort) {
        mAdminPort = adminPort;
    }

    /** Adds the faults to a new connection. */
    void install(ChannelPipeline pipeline) {
        pipeline.addFirst(new Gate());
    }

    boolean isDown() {
        return mDown;
    }

    /** Closes all connections, and further ones as soon as they open, until called with false. */
    void setDown(boolean down) {
        mDown = down;
        if (down) {
            mOpen.forEach(Gate::closeNow);
        }
    }

    /** Stops all data on the connections that are open now; later ones are not affected. */
    void silenceOpenConnections() {
        mOpen.forEach(gate -> gate.mSilent = true);
    }

    /** Passes or drops the data of one connection. */
    private final class Gate extends ChannelDuplexHandler {
        private volatile boolean mSilent;
        private volatile ChannelHandlerContext mContext;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            mContext = ctx;
            int port = ((InetSocketAddress) ctx.channel().localAddress()).getPort();
            if (port != mAdminPort) {
                mOpen.add(this);
                if (mDown) {
                    closeNow();
                    return;
                }
            }
            ctx.fireChannelActive();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            mOpen.remove(this);
            ctx.fireChannelInactive();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (mSilent) {
                ReferenceCountUtil.release(message);
                return;
            }
            count(ctx, message, mBytesReceived);
            ctx.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise)
                throws Exception {
            if (mSilent) {
                ReferenceCountUtil.release(message);
                promise.setSuccess();
                return;
            }
            count(ctx, message, mBytesSent);
            super.write(ctx, message, promise);
        }

        private void count(ChannelHandlerContext ctx, Object message, LongAdder bytes) {
            int port = ((InetSocketAddress) ctx.channel().localAddress()).getPort();
            if (port != mAdminPort && message instanceof ByteBuf buffer) {
                bytes.add(buffer.readableBytes());
            }
        }

        /** Drops data from now on, since the close takes effect later on the event loop. */
        private void closeNow() {
            mSilent = true;
            ChannelHandlerContext context = mContext;
            try {
                super.close(context, context.newPromise());
            } catch (Exception e) {
                throw new IllegalStateException("cannot close " + context.channel(), e);
            }
        }
    }
}
