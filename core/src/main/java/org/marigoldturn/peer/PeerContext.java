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

/** What all connections of one daemon share. Thread safe. */
record PeerContext(
        PeerOptions options,
        PeerHandler handler,
        PeerListener listener,
        PeerMetrics metrics,
        LimitedLog log) {
    /** Larger than any blob (the store takes a megabyte) plus the manifest. */
    static final int MAX_FRAME_BYTES = 4 << 20;

    /** A Hello has a member id and a token; strangers cannot make the daemon buffer more. */
    static final int MAX_HELLO_BYTES = 4096;

    static final long PING_INTERVAL_MILLIS = 500;

    /** Four missed pings. */
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

    /** Compares in a time that does not depend on where the tokens differ. */
    boolean hasToken(Hello hello) {
        return MessageDigest.isEqual(
                options.token().getBytes(StandardCharsets.UTF_8),
                hello.getToken().getBytes(StandardCharsets.UTF_8));
    }
}
