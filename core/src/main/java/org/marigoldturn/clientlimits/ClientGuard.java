package org.marigoldturn.clientlimits;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.server.ServerBuilder;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Applies {@link ClientLimits} to a server: its own limits where it has them, and a {@link
 * ConnectionGuard} on each connection for the rest.
 *
 * <p>Knows all open connections and what they hold. When the memory budget is used up, the
 * connections that hold the most are closed. When there are too many connections, the oldest one
 * that has never been served makes room for the next; if all were served, the next is refused.
 *
 * <p>Thread safe.
 */
public final class ClientGuard {
    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2_048;

    /** A paused connection holds up to one read, so this is part of what it costs. */
    private static final int MAX_READ_BYTES = 16_384;

    /** A new connection has this long to get its first response before it may be replaced. */
    private static final long MIN_AGE_NANOS = 1_000_000_000;

    /** Smaller changes of what a connection holds are not reported, which saves locking. */
    private static final long REPORT_STEP_BYTES = 1_024;

    private final ClientLimits mLimits;
    private final LimitReports mReports;
    private final LongSupplier mNowNanos;
    private final Map<ConnectionGuard, Long> mHeldBytes = new HashMap<>();
    private int mReservedConnections;
    private long mTotalBytes;

    /**
     * Creates a guard without connections.
     *
     * @param nowNanos monotonic time
     */
    public ClientGuard(ClientLimits limits, MetricRegistry metrics, LongSupplier nowNanos) {
        mLimits = limits;
        mReports = new LimitReports(metrics);
        mNowNanos = nowNanos;
    }

    /**
     * Adds the limits to a server.
     *
     * @param reservedPort port whose connections do not count as connections of clients; 0 for none
     */
    public void register(ServerBuilder server, int reservedPort) {
        // This guard counts per port. The server's limit is higher, since it still counts
        // connections that are being closed.
        server.maxNumConnections(mLimits.maxConnections() + 2 * mLimits.reservedConnections())
                .http1MaxHeaderSize(ClientLimits.MAX_HEADER_BYTES)
                .http1MaxInitialLineLength(ClientLimits.MAX_REQUEST_LINE_BYTES)
                .http2MaxHeaderListSize(ClientLimits.MAX_HEADER_BYTES)
                .http2MaxStreamsPerConnection(ClientLimits.MAX_STREAMS)
                .idleTimeoutMillis(mLimits.idleTimeoutMillis())
                .childChannelOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(
                                        MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .childChannelPipelineCustomizer(
                        pipeline ->
                                pipeline.addFirst(
                                        new ConnectionGuard(this, mLimits, reservedPort)));
    }

    long nowNanos() {
        return mNowNanos.getAsLong();
    }

    void count(LimitKind kind) {
        mReports.count(kind, nowNanos());
    }

    /** Admits a connection, or returns false if it must be closed. */
    synchronized boolean admit(ConnectionGuard connection) {
        if (connection.isReserved()) {
            if (mReservedConnections >= mLimits.reservedConnections()) {
                count(LimitKind.CONNECTIONS);
                return false;
            }
            mReservedConnections++;
            return true;
        }
        if (mHeldBytes.size() >= mLimits.maxConnections()) {
            Optional<ConnectionGuard> replaced = oldestUnserved();
            if (replaced.isEmpty()) {
                count(LimitKind.CONNECTIONS);
                return false;
            }
            close(replaced.get(), LimitKind.CONNECTIONS);
        }
        mHeldBytes.put(connection, 0L);
        adjust(connection);
        return true;
    }

    /** Records what a connection holds, and closes the worst ones if the budget is used up. */
    synchronized void adjust(ConnectionGuard connection) {
        Long before = mHeldBytes.get(connection);
        if (before == null) {
            return;
        }
        long now = connection.usage().heldBytes();
        if (Math.abs(now - before) < REPORT_STEP_BYTES) {
            return;
        }
        mHeldBytes.put(connection, now);
        mTotalBytes += now - before;
        while (mTotalBytes > mLimits.memoryBudgetBytes() && !mHeldBytes.isEmpty()) {
            close(worst(), LimitKind.MEMORY);
        }
    }

    /** Forgets a connection that has ended. */
    synchronized void remove(ConnectionGuard connection) {
        if (connection.isReserved()) {
            mReservedConnections--;
        } else {
            forget(connection);
        }
    }

    private void close(ConnectionGuard connection, LimitKind kind) {
        forget(connection);
        connection.close(kind);
    }

    private void forget(ConnectionGuard connection) {
        Long held = mHeldBytes.remove(connection);
        mTotalBytes -= held == null ? 0 : held;
    }

    private ConnectionGuard worst() {
        return mHeldBytes.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    private Optional<ConnectionGuard> oldestUnserved() {
        long nowNanos = nowNanos();
        return mHeldBytes.keySet().stream()
                .filter(connection -> !connection.usage().hasServed())
                .filter(c -> nowNanos - c.usage().quietSinceNanos() >= MIN_AGE_NANOS)
                .max(Comparator.comparingLong(c -> nowNanos - c.usage().quietSinceNanos()));
    }
}
