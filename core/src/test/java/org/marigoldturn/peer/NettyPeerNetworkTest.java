package org.marigoldturn.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.peer.wire.ClaimReply;
import org.marigoldturn.peer.wire.ClaimRequest;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.peer.wire.Hello;
import org.marigoldturn.peer.wire.StateReply;
import org.marigoldturn.settings.MemberSet;

/**
 * Tests the transport between daemons over loopback, with faults of the connection and of the
 * remote daemon.
 */
class NettyPeerNetworkTest {
    private static final long CALL_MILLIS = 1_000;

    private final TestPeer mA = new TestPeer("a-1");
    private final TestPeer mB = new TestPeer("b-1");

    @AfterTry
    void closePeers() {
        mA.close();
        mB.close();
    }

    private static Envelope.Builder claim(String id) {
        ByteString bytes = ByteString.copyFromUtf8(id);
        return Envelope.newBuilder().setClaimRequest(ClaimRequest.newBuilder().setRequestId(bytes));
    }

    private Envelope callUntilConnected(String member) throws Exception {
        TestPeer.await(() -> !mA.mPongs.isEmpty());
        return mA.mNetwork.call(member, claim("1"), CALL_MILLIS).get();
    }

    /** Guards against a sender that is taken from the message instead of the connection. */
    @Example
    void deliversACallWithItsSenderAndReturnsTheReply() throws Exception {
        mA.connectTo("b-1", mB.mPort);

        Envelope reply = callUntilConnected("b-1");

        assertThat(reply.getClaimReply().getResult()).isEqualTo(ClaimReply.Result.GRANTED);
        assertThat(mB.mHandled).containsExactly("a-1 CLAIM_REQUEST");
    }

    /** Guards against confirmations whose age is measured from the reply instead of the ping. */
    @Example
    void reportsVersionsWithTheTimeBeforeThePingWasSent() throws Exception {
        mB.mVersion = 7;
        long before = System.nanoTime();
        mA.connectTo("b-1", mB.mPort);

        TestPeer.await(() -> mA.mPongs.size() >= 2);

        assertThat(mA.mPongs).allMatch(p -> p.member().equals("b-1") && p.version() == 7);
        assertThat(mA.mPongs.get(0).sentNanos()).isBetween(before, System.nanoTime());
        assertThat(mB.mPings).contains("a-1 1");
    }

    /** Guards against pings that exceed the traffic budget of 3 KB a second with many members. */
    @Example
    void aPingAndItsReplyCostAtMost24Bytes() throws Exception {
        mB.mVersion = 1_000_000;
        mA.mVersion = 1_000_000;
        mA.connectTo("b-1", mB.mPort);
        TestPeer.await(() -> mA.mPongs.size() >= 2);
        int pongsBefore = mA.mPongs.size();
        long bytesBefore = mA.count("peer.bytes.sent") + mA.count("peer.bytes.received");

        TestPeer.await(() -> mA.mPongs.size() >= pongsBefore + 4);

        long bytes = mA.count("peer.bytes.sent") + mA.count("peer.bytes.received") - bytesBefore;
        assertThat(bytes).isLessThanOrEqualTo(24L * 4);
    }

    @Example
    void reconnectsAfterALostConnection() throws Exception {
        try (TcpForwarder forwarder = new TcpForwarder(mB.mPort)) {
            mA.connectTo("b-1", forwarder.port());
            callUntilConnected("b-1");

            forwarder.closePresentConnections();
            TestPeer.await(() -> forwarder.accepted() >= 2);
            mA.mPongs.clear();

            assertThat(callUntilConnected("b-1").hasClaimReply()).isTrue();
            assertThat(mA.mRefused).isEmpty();
        }
    }

    /**
     * Guards against waiting forever on a connection whose state a network device in between has
     * lost.
     */
    @Example
    void replacesASilentConnection() throws Exception {
        try (TcpForwarder forwarder = new TcpForwarder(mB.mPort)) {
            mA.connectTo("b-1", forwarder.port());
            callUntilConnected("b-1");

            forwarder.silencePresentConnections();
            TestPeer.await(() -> mA.count("peer.connections.silent") == 1);
            mA.mPongs.clear();

            assertThat(callUntilConnected("b-1").hasClaimReply()).isTrue();
            assertThat(mA.mRefused).isEmpty();
        }
    }

    @Example
    void reportsARefusedConnection() throws Exception {
        mB.close();
        mA.connectTo("b-1", mB.mPort);

        TestPeer.await(() -> mA.mRefused.contains("b-1"));
    }

    /**
     * Guards against treating a paused process, whose kernel still accepts connections, as ended.
     */
    @Example
    void doesNotReportAProcessThatAcceptsButNeverAnswers() throws Exception {
        try (ServerSocket paused = listen()) {
            mA.connectTo("b-1", paused.getLocalPort());

            TestPeer.await(() -> mA.count("peer.connections.silent") >= 1);

            assertThat(mA.mRefused).isEmpty();
            assertThat(mA.mTaken).isEmpty();
        }
    }

    /** Guards against messages for an ended daemon that reach its replacement. */
    @Example
    void reportsAnotherDaemonAtTheMembersAddress() throws Exception {
        mA.connectTo("b-0", mB.mPort);

        TestPeer.await(() -> mA.mTaken.contains("b-0 b-1"));

        assertThatThrownBy(() -> mA.mNetwork.call("b-0", claim("1"), CALL_MILLIS).get())
                .hasCauseInstanceOf(PeerException.class);
        assertThat(mB.mHandled).isEmpty();
    }

    @Example
    void rejectsADaemonWithAnotherToken() throws Exception {
        try (TestPeer otherDaemon = new TestPeer("c-1", "other-token")) {
            otherDaemon.connectTo("a-1", mA.mPort);

            TestPeer.await(() -> mA.count("peer.connections.rejected") >= 1);

            assertThat(otherDaemon.mPongs).isEmpty();
            assertThat(mA.mPings).isEmpty();
        }
    }

    @Example
    void closesAConnectionThatSendsMalformedData() throws Exception {
        assertRejected(new byte[] {5, 1, 2, 3, 4, 5}, 0);
    }

    @Example
    void closesAConnectionWithANegativeFrameLength() throws Exception {
        byte continuation = (byte) 0xff;
        assertRejected(
                new byte[] {continuation, continuation, continuation, continuation, 0x0f, 1}, 0);
    }

    /** Guards against buffering a frame whose announced length exceeds the limit. */
    @Example
    void closesAConnectionThatAnnouncesAnOversizedFrame() throws Exception {
        byte[] fiveMebibytes = {(byte) 0x80, (byte) 0x80, (byte) 0xc0, 0x02};
        assertRejected(fiveMebibytes, 0);
        assertRejected(fiveMebibytes, 1);
    }

    @Example
    void closesAConnectionWhoseFirstMessageIsNoHello() throws Exception {
        assertRejected(frame(claim("1").setSender("b-1").build()), 0);
    }

    @Example
    void closesAConnectionWhoseSenderChanges() throws Exception {
        assertRejected(frame(claim("1").setSender("c-1").build()), 1);
        assertThat(mA.mHandled).isEmpty();
    }

    /**
     * Guards against a reply that completes another call, and against a repeated or late reply that
     * completes any.
     */
    @Example
    void matchesCrossedRepliesAndIgnoresLateOnes() throws Exception {
        try (ServerSocket server = listen()) {
            mA.connectTo("b-1", server.getLocalPort());
            Socket socket = server.accept();
            acceptHello(socket);
            TestPeer.await(() -> mA.count("peer.messages.received") >= 1);
            CompletableFuture<Envelope> first = mA.mNetwork.call("b-1", claim("1"), CALL_MILLIS);
            CompletableFuture<Envelope> second = mA.mNetwork.call("b-1", claim("2"), CALL_MILLIS);
            CompletableFuture<Envelope> slow = mA.mNetwork.call("b-1", claim("3"), 50);
            long firstId = readClaim(socket);
            long secondId = readClaim(socket);
            long slowId = readClaim(socket);
            assertThatThrownBy(slow::get).isInstanceOf(ExecutionException.class);

            writeReply(socket, slowId, 3);
            writeReply(socket, secondId, 2);
            writeReply(socket, secondId, 9);
            writeReply(socket, 999, 9);
            writeReply(socket, firstId, 1);

            assertThat(first.get().getStateReply().getManifestRevision()).isEqualTo(1);
            assertThat(second.get().getStateReply().getManifestRevision()).isEqualTo(2);
            assertThat(mA.count("peer.replies.late")).isEqualTo(3);
        }
    }

    /** Guards against unbounded memory use for a member that does not read. */
    @Example
    void dropsMessagesForAMemberThatDoesNotRead() throws Exception {
        try (ServerSocket server = listen()) {
            mA.connectTo("b-1", server.getLocalPort());
            acceptHello(server.accept());
            TestPeer.await(() -> mA.count("peer.messages.received") >= 1);

            ByteString blob = ByteString.copyFrom(new byte[1 << 20]);
            StateReply large = StateReply.newBuilder().addBlobs(blob).build();
            for (int i = 0; i < 100; i++) {
                mA.mNetwork.send("b-1", Envelope.newBuilder().setStateReply(large));
            }

            TestPeer.await(() -> mA.count("peer.messages.dropped") > 50);
        }
    }

    /** Guards against calls that hang when their member is removed. */
    @Example
    void failsCallsToARemovedMember() throws Exception {
        try (ServerSocket server = listen()) {
            mA.connectTo("b-1", server.getLocalPort());
            acceptHello(server.accept());
            TestPeer.await(() -> mA.count("peer.messages.received") >= 1);
            CompletableFuture<Envelope> call = mA.mNetwork.call("b-1", claim("1"), 60_000);

            mA.mNetwork.updateMembers(MemberSet.EMPTY);

            assertThatThrownBy(call::get).hasCauseInstanceOf(PeerException.class);
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    private static byte[] frame(Envelope message) throws IOException {
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        message.writeDelimitedTo(out);
        return out.toByteArray();
    }

    private static Envelope hello(String sender) {
        Hello hello = Hello.newBuilder().setToken(TestPeer.TOKEN).build();
        return Envelope.newBuilder().setSender(sender).setHello(hello).build();
    }

    private static void acceptHello(Socket socket) throws IOException {
        Envelope received = Envelope.parseDelimitedFrom(socket.getInputStream());
        assertThat(received.getHello().getToken()).isEqualTo(TestPeer.TOKEN);
        hello("b-1").writeDelimitedTo(socket.getOutputStream());
    }

    private static long readClaim(Socket socket) throws IOException {
        Envelope message = Envelope.parseDelimitedFrom(socket.getInputStream());
        while (!message.hasClaimRequest()) {
            message = Envelope.parseDelimitedFrom(socket.getInputStream());
        }
        return message.getCallId();
    }

    private static void writeReply(Socket socket, long callId, long revision) throws IOException {
        StateReply body = StateReply.newBuilder().setManifestRevision(revision).build();
        Envelope.newBuilder()
                .setCallId(callId)
                .setReply(true)
                .setStateReply(body)
                .build()
                .writeDelimitedTo(socket.getOutputStream());
    }

    /** Sends bytes, after a valid Hello if {@code hellos} is 1, and expects the end of stream. */
    private void assertRejected(byte[] bytes, int hellos) throws Exception {
        long before = mA.count("peer.connections.rejected");
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mA.mPort)) {
            socket.setSoTimeout((int) TestPeer.WAIT_MILLIS);
            if (hellos == 1) {
                hello("b-1").writeDelimitedTo(socket.getOutputStream());
                assertThat(Envelope.parseDelimitedFrom(socket.getInputStream()).hasHello())
                        .isTrue();
            }
            socket.getOutputStream().write(bytes);
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        assertThat(mA.count("peer.connections.rejected")).isEqualTo(before + 1);
    }
}
