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
 * Injects faults into the connections of one server, by closing them or leaving them open without
 * delivering data, and counts their bytes.
 *
 * <p>Connections to the admin port are exempt. Thread safe.
 */
final class ConnectionFaults {
    private final Set<FaultHandler> mOpenConnections = ConcurrentHashMap.newKeySet();
    private volatile int mAdminPort;
    private final LongAdder mBytesReceived = new LongAdder();
    private final LongAdder mBytesSent = new LongAdder();
    private volatile boolean mDown;

    /** Returns the bytes received on connections to other ports than the admin port. */
    long bytesReceived() {
        return mBytesReceived.sum();
    }

    /** Returns the bytes sent on connections to other ports than the admin port. */
    long bytesSent() {
        return mBytesSent.sum();
    }

    /** Sets the port whose connections are exempt from faults. */
    void setAdminPort(int adminPort) {
        mAdminPort = adminPort;
    }

    /** Adds the handler that injects the faults to the pipeline of a new connection. */
    void install(ChannelPipeline pipeline) {
        pipeline.addFirst(new FaultHandler());
    }

    boolean isDown() {
        return mDown;
    }

    /** Closes all connections, and new ones as soon as they open, until called with false. */
    void setDown(boolean down) {
        mDown = down;
        if (down) {
            mOpenConnections.forEach(FaultHandler::dropDataAndClose);
        }
    }

    /** Drops all data of the connections that are open now; later ones are not affected. */
    void silenceOpenConnections() {
        mOpenConnections.forEach(handler -> handler.mSilent = true);
    }

    /** Passes or drops the data of one connection. */
    private final class FaultHandler extends ChannelDuplexHandler {
        private volatile boolean mSilent;
        private volatile ChannelHandlerContext mContext;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            mContext = ctx;
            int port = ((InetSocketAddress) ctx.channel().localAddress()).getPort();
            if (port != mAdminPort) {
                mOpenConnections.add(this);
                if (mDown) {
                    dropDataAndClose();
                    return;
                }
            }
            ctx.fireChannelActive();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            mOpenConnections.remove(this);
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

        /**
         * Drops all data and closes the connection.
         *
         * <p>The close takes effect later, on the event loop; until then no data may pass.
         */
        private void dropDataAndClose() {
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
