package org.marigoldturn.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Forwards TCP connections to a port on loopback. It can close the present connections, or stop
 * forwarding on them without closing them, like a network device that has lost their state.
 */
final class TcpForwarder implements AutoCloseable {
    private final ServerSocket mServer;
    private final int mTargetPort;
    private final List<Link> mLinks = new CopyOnWriteArrayList<>();

    private static final class Link {
        private final Socket mClient;
        private final Socket mTarget;
        private volatile boolean mSilent;

        Link(Socket client, Socket target) {
            mClient = client;
            mTarget = target;
        }
    }

    TcpForwarder(int targetPort) throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mTargetPort = targetPort;
        startThread(this::acceptAll);
    }

    int port() {
        return mServer.getLocalPort();
    }

    int accepted() {
        return mLinks.size();
    }

    void silencePresentConnections() {
        mLinks.forEach(link -> link.mSilent = true);
    }

    void closePresentConnections() throws IOException {
        for (Link link : mLinks) {
            link.mClient.close();
            link.mTarget.close();
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        closePresentConnections();
    }

    private void acceptAll() throws IOException {
        while (true) {
            Socket client = mServer.accept();
            Socket target = new Socket(InetAddress.getLoopbackAddress(), mTargetPort);
            Link link = new Link(client, target);
            mLinks.add(link);
            startThread(() -> copy(link, client.getInputStream(), target.getOutputStream()));
            startThread(() -> copy(link, target.getInputStream(), client.getOutputStream()));
        }
    }

    private static void copy(Link link, InputStream from, OutputStream to) throws IOException {
        byte[] buffer = new byte[4096];
        for (int count = from.read(buffer); count >= 0; count = from.read(buffer)) {
            if (!link.mSilent) {
                to.write(buffer, 0, count);
            }
        }
    }

    private interface Body {
        void run() throws IOException;
    }

    private static void startThread(Body body) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.run();
                            } catch (IOException e) {
                                Thread.currentThread().interrupt(); // The connection was closed.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
