package org.marigoldturn.peer;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.marigoldturn.peer.wire.ClaimReply;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;

/** Transport that records the events that it reports, and replies to each claim with GRANTED. */
final class TestPeer implements PeerListener, AutoCloseable {
    static final String TOKEN = "test-token";
    static final long WAIT_MILLIS = 8_000;

    /** One reply to a ping, as reported to the listener. */
    record PongSeen(String member, long version, long sentNanos) {}

    final MetricRegistry mRegistry = new MetricRegistry();
    final List<PongSeen> mPongs = new CopyOnWriteArrayList<>();
    final List<String> mPings = new CopyOnWriteArrayList<>();
    final List<String> mRefused = new CopyOnWriteArrayList<>();
    final List<String> mTaken = new CopyOnWriteArrayList<>();
    final List<String> mHandled = new CopyOnWriteArrayList<>();
    final NettyPeerNetwork mNetwork;
    final String mId;
    final int mPort;
    volatile long mVersion = 1;

    TestPeer(String id) {
        this(id, TOKEN);
    }

    TestPeer(String id, String token) {
        mId = id;
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        mNetwork =
                new NettyPeerNetwork(
                        new PeerOptions(id, token, address), this::handle, this, mRegistry);
        mPort = mNetwork.start();
    }

    static Member member(String id, int port) {
        return new Member(id, "a", "127.0.0.1", port, 1, 0);
    }

    /** Connects to the given member at the given port. */
    void connectTo(String id, int port) {
        mNetwork.updateMembers(new MemberSet(new ArrayList<>(List.of(member(id, port)))));
    }

    long count(String counter) {
        return mRegistry.counter(counter).getCount();
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + WAIT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("condition not met within " + WAIT_MILLIS + " ms");
            }
            Thread.sleep(10);
        }
    }

    private CompletableFuture<Envelope.Builder> handle(String sender, Envelope message) {
        mHandled.add(sender + " " + message.getBodyCase());
        if (!message.hasClaimRequest()) {
            return CompletableFuture.completedFuture(null);
        }
        ClaimReply reply = ClaimReply.newBuilder().setResult(ClaimReply.Result.GRANTED).build();
        return CompletableFuture.completedFuture(Envelope.newBuilder().setClaimReply(reply));
    }

    @Override
    public long heldVersion() {
        return mVersion;
    }

    @Override
    public void onPong(String memberId, long version, long sentNanos) {
        mPongs.add(new PongSeen(memberId, version, sentNanos));
    }

    @Override
    public void onPing(String senderId, long version) {
        mPings.add(senderId + " " + version);
    }

    @Override
    public void onConnectionRefused(String memberId) {
        mRefused.add(memberId);
    }

    @Override
    public void onAddressTaken(String memberId, String actualId) {
        mTaken.add(memberId + " " + actualId);
    }

    @Override
    public void close() {
        mNetwork.close();
    }
}
