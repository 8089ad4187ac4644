package org.marigoldturn.peer;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;

/**
 * Transport between entry daemons over TCP. A frame is a varint length and one {@link Envelope}.
 *
 * <p>Each daemon keeps one connection to each member, on which it sends its messages and receives
 * the replies to its calls. Both ends present the shared token in a Hello before anything else. The
 * sender of a message is the id that the remote end stated in its Hello. Thread safe.
 */
public final class NettyPeerNetwork implements PeerNetwork, PeerConnections, AutoCloseable {
    /** Two suffice, since the traffic is a few messages a second per member. */
    private static final int EVENT_LOOPS = 2;

    private static final long SHUTDOWN_MILLIS = 1_000;

    private final PeerContext mContext;
    private final EventLoopGroup mLoops =
            new NioEventLoopGroup(EVENT_LOOPS, new DefaultThreadFactory("peer", true));
    private final Map<String, OutgoingConnection> mConnections = new ConcurrentHashMap<>();
    private volatile Channel mServer;

    /** Creates a transport that neither listens nor connects yet. */
    public NettyPeerNetwork(
            PeerOptions options,
            PeerHandler handler,
            PeerListener listener,
            MetricRegistry registry) {
        mContext =
                new PeerContext(
                        options,
                        handler,
                        listener,
                        new PeerMetrics(registry),
                        new RateLimitedLog());
    }

    /**
     * Starts to listen and returns the bound port.
     *
     * <p>Must be called before this daemon becomes a member: other daemons treat a refused
     * connection at a member's address as evidence that its process has ended.
     *
     * @throws PeerException if the address cannot be bound
     */
    public int start() {
        InetSocketAddress address = mContext.options().listenAddress();
        try {
            mServer =
                    new ServerBootstrap()
                            .group(mLoops)
                            .channel(NioServerSocketChannel.class)
                            .childHandler(new Initializer())
                            .bind(address)
                            .syncUninterruptibly()
                            .channel();
        } catch (RuntimeException e) {
            throw new PeerException(
                    "cannot listen at " + address + "; choose a local address and a free port", e);
        }
        return ((InetSocketAddress) mServer.localAddress()).getPort();
    }

    @Override
    public synchronized void updateMembers(MemberSet members) {
        for (Member member : members.members()) {
            boolean self = member.id().equals(mContext.options().memberId());
            if (!self && !mConnections.containsKey(member.id())) {
                OutgoingConnection connection =
                        new OutgoingConnection(mContext, member, mLoops.next());
                mConnections.put(member.id(), connection);
                connection.start();
            }
        }
        mConnections
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean removed = members.find(entry.getKey()).isEmpty();
                            if (removed) {
                                entry.getValue().close();
                            }
                            return removed;
                        });
    }

    @Override
    public void pingAll() {
        mConnections.values().forEach(OutgoingConnection::ping);
    }

    @Override
    public void send(String memberId, Envelope.Builder message) {
        OutgoingConnection connection = mConnections.get(memberId);
        if (connection == null) {
            mContext.metrics().mDropped.inc();
            return;
        }
        connection.send(message);
    }

    @Override
    public CompletableFuture<Envelope> call(
            String memberId, Envelope.Builder message, long timeoutMillis) {
        OutgoingConnection connection = mConnections.get(memberId);
        if (connection == null) {
            mContext.metrics().mDropped.inc();
            return CompletableFuture.failedFuture(
                    new PeerNotReachableException(
                            "no connection to "
                                    + memberId
                                    + ": it is not a member of the held version"));
        }
        return connection.call(message, timeoutMillis);
    }

    /**
     * Closes all connections and the listening port.
     *
     * <p>Must be the last step of a shutdown: from then on other daemons see refused connections
     * and treat them as evidence that the process has ended.
     */
    @Override
    public synchronized void close() {
        mConnections.values().forEach(OutgoingConnection::close);
        mConnections.clear();
        mLoops.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(2 * SHUTDOWN_MILLIS);
    }

    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            mContext.initialize(channel, new IncomingConnectionHandler(mContext));
        }
    }
}
