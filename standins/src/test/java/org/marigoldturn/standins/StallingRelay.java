package org.marigoldturn.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;

/** Relays TCP connections, and can stop delivery on the open ones while new ones work. */
final class StallingRelay implements AutoCloseable {
    private final ServerSocket mServer;
    private final int mTargetPort;
    private final List<Socket> mSockets = new ArrayList<>();
    private final AtomicInteger mGeneration = new AtomicInteger();

    StallingRelay(int targetPort) throws IOException {
        mTargetPort = targetPort;
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Stops delivering on the connections that are open now, without closing them. */
    void stall() {
        mGeneration.incrementAndGet();
    }

    private void accept() {
        try {
            while (!mServer.isClosed()) {
                relay(mServer.accept());
            }
        } catch (IOException e) {
            Logger.debug(e, "relay: server socket was closed");
        }
    }

    private void relay(Socket accepted) throws IOException {
        Socket upstream;
        try {
            upstream = new Socket(InetAddress.getLoopbackAddress(), mTargetPort);
        } catch (ConnectException e) {
            accepted.close();
            return;
        }
        synchronized (mSockets) {
            mSockets.add(accepted);
            mSockets.add(upstream);
        }
        int generation = mGeneration.get();
        start(() -> copy(accepted, upstream, generation));
        start(() -> copy(upstream, accepted, generation));
    }

    private void copy(Socket from, Socket to, int generation) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0 && mGeneration.get() == generation) {
                out.write(buffer, 0, count);
                count = in.read(buffer);
            }
            if (mGeneration.get() == generation) {
                to.close();
            }
        } catch (IOException e) {
            Logger.debug(e, "relay: one end was closed");
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        synchronized (mSockets) {
            for (Socket socket : mSockets) {
                socket.close();
            }
        }
    }
}
