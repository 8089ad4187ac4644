package org.marigoldturn.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counters of the transport. Thread safe. */
final class PeerMetrics {
    final Counter mBytesSent;
    final Counter mBytesReceived;
    final Counter mMessagesSent;
    final Counter mMessagesReceived;

    /**
     * Messages not sent because the member was unreachable, the queue or the write buffer was full,
     * or the frame was too large.
     */
    final Counter mDropped;

    /** Replies that belong to no pending call. */
    final Counter mLateReplies;

    /** Connections to members closed because no message arrived in time. */
    final Counter mSilentConnections;

    /** Connections closed because of malformed input, a wrong sender or a wrong token. */
    final Counter mRejectedConnections;

    PeerMetrics(MetricRegistry registry) {
        mBytesSent = registry.counter("peer.bytes.sent");
        mBytesReceived = registry.counter("peer.bytes.received");
        mMessagesSent = registry.counter("peer.messages.sent");
        mMessagesReceived = registry.counter("peer.messages.received");
        mDropped = registry.counter("peer.messages.dropped");
        mLateReplies = registry.counter("peer.replies.late");
        mSilentConnections = registry.counter("peer.connections.silent");
        mRejectedConnections = registry.counter("peer.connections.rejected");
    }
}
