package org.marigoldturn.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Connections of hostile clients, which send without reading. Not thread safe. */
public final class ClientCrowd implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int QUIET_ROUNDS = 40;

    private final List<SocketChannel> mConnections = new ArrayList<>();
    private final InetSocketAddress mAddress;
    private final ChildProcess mServer;

    /** Creates a crowd without connections for a port of a server. */
    public ClientCrowd(String ip, int port, ChildProcess server) {
        mAddress = new InetSocketAddress(ip, port);
        mServer = server;
    }

    /** Opens connections. */
    public void gather(int connections) throws IOException {
        for (int i = 0; i < connections; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            mConnections.add(channel);
            try {
                channel.connect(mAddress);
                channel.configureBlocking(false);
            } catch (IOException e) {
                // A connection that is refused is one of the permitted reactions.
                channel.close();
            }
        }
    }

    /** Sends the bytes on all connections, until none of them takes any more. */
    public void sendAll(byte[] bytes) throws InterruptedException {
        List<ByteBuffer> unsent = new ArrayList<>();
        mConnections.forEach(channel -> unsent.add(ByteBuffer.wrap(bytes)));
        int quietRounds = 0;
        while (quietRounds < QUIET_ROUNDS && mServer.isAlive()) {
            int sent = 0;
            for (int i = 0; i < mConnections.size(); i++) {
                sent += Math.max(0, trySend(mConnections.get(i), unsent.get(i)));
            }
            quietRounds = sent > 0 ? 0 : quietRounds + 1;
            Thread.sleep(50);
        }
    }

    /** Sends two bytes a second on the first connection, and returns how many were accepted. */
    public int trickle(int maxBytes) throws InterruptedException {
        int bytes = 0;
        while (bytes < maxBytes
                && trySend(mConnections.get(0), ByteBuffer.wrap(new byte[] {'x'})) >= 0) {
            Thread.sleep(500);
            bytes++;
        }
        return bytes;
    }

    /** Returns the resident memory of the server. */
    public long serverResidentKilobytes() throws IOException {
        Path status = Path.of("/proc", Long.toString(mServer.pid()), "status");
        String line =
                Files.readAllLines(status).stream()
                        .filter(l -> l.startsWith("VmRSS:"))
                        .findFirst()
                        .orElseThrow();
        return Long.parseLong(line.replaceAll("[^0-9]", ""));
    }

    /** Returns the number of bytes sent; -1 if the connection is closed. */
    private static int trySend(SocketChannel channel, ByteBuffer bytes) {
        try {
            return channel.isOpen() ? channel.write(bytes) : -1;
        } catch (IOException e) {
            // A connection that is closed is one of the permitted reactions.
            return -1;
        }
    }

    @Override
    public void close() {
        for (SocketChannel channel : mConnections) {
            try {
                channel.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        mConnections.clear();
    }
}
