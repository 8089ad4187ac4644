package org.marigoldturn.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.peer.wire.Hello;

/** Collaborators and limits that all connections of one daemon share. Thread safe. */
record PeerContext(
        PeerOptions options,
        PeerHandler handler,
        PeerListener listener,
        PeerMetrics metrics,
        RateLimitedLog log) {
    /** Larger than the largest blob (the store accepts at most a megabyte) plus the manifest. */
    static final int MAX_FRAME_BYTES = 4 << 20;

    /**
     * Limit for the first message, a Hello with a member id and a token, so that an unauthenticated
     * sender cannot make the daemon buffer more.
     */
    static final int MAX_HELLO_BYTES = 4096;

    static final long PING_INTERVAL_MILLIS = 500;

    /** Time without a message after which a connection counts as dead: four missed pings. */
    static final long SILENCE_MILLIS = 2_000;

    void initialize(Channel channel, AbstractConnectionHandler handler) {
        ChannelPipeline pipeline = channel.pipeline();
        TrafficCounter counter = new TrafficCounter(metrics);
        LimitedFrameDecoder frames = new LimitedFrameDecoder(MAX_HELLO_BYTES);
        handler.setFrameDecoder(frames);
        pipeline.addLast("bytes", counter);
        pipeline.addLast("frames", frames);
        pipeline.addLast("decoder", new ProtobufDecoder(Envelope.getDefaultInstance()));
        pipeline.addLast("lengths", new ProtobufVarint32LengthFieldPrepender());
        pipeline.addLast("encoder", new ProtobufEncoder());
        pipeline.addLast("messages", counter);
        pipeline.addLast("connection", handler);
    }

    Envelope.Builder hello() {
        return Envelope.newBuilder()
                .setSender(options.memberId())
                .setHello(Hello.newBuilder().setToken(options.token()));
    }

    /**
     * Compares the tokens in constant time, so that the duration does not reveal where they differ.
     */
    boolean hasToken(Hello hello) {
        return MessageDigest.isEqual(
                options.token().getBytes(StandardCharsets.UTF_8),
                hello.getToken().getBytes(StandardCharsets.UTF_8));
    }
}
