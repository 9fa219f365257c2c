package org.ragwortmoor.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Relays TCP connections between two processes and cuts them: the connections stay open and their
 * bytes are dropped, as on a network that loses all packets.
 */
final class LinkRelay implements AutoCloseable {
    /** Which bytes are dropped, seen from the process that opens the connections. */
    enum Cut {
        NONE,
        BOTH,
        REQUESTS,
        ANSWERS
    }

    private final ServerSocket listener;
    private final int target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile Cut cut = Cut.NONE;

    /** Listens on a port of its own and relays to a target port on loopback. */
    LinkRelay(int port, int target) {
        this.target = target;
        try {
            listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        thread(this::accept, "accept");
    }

    /** Cuts the link, or closes all its connections when the cut ends: they have lost bytes. */
    void cut(Cut next) {
        cut = next;
        if (next == Cut.NONE) {
            sockets.forEach(LinkRelay::closeQuietly);
            sockets.clear();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                thread(() -> connect(client), "connect");
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        sockets.add(client);
        try {
            Socket server = new Socket(InetAddress.getLoopbackAddress(), target);
            sockets.add(server);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            thread(() -> copy(client, server, Cut.REQUESTS), "requests");
            thread(() -> copy(server, client, Cut.ANSWERS), "answers");
        } catch (IOException e) {
            closeQuietly(client);
        }
    }

    private void copy(Socket from, Socket to, Cut direction) {
        byte[] buffer = new byte[16 * 1024];
        try (InputStream input = from.getInputStream();
                OutputStream output = to.getOutputStream()) {
            int read = input.read(buffer);
            while (read >= 0) {
                Cut now = cut;
                if (now != Cut.BOTH && now != direction) {
                    output.write(buffer, 0, read);
                }
                read = input.read(buffer);
            }
        } catch (IOException e) {
            closeQuietly(from);
        } finally {
            closeQuietly(to);
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    private static void thread(Runnable task, String name) {
        Thread thread = new Thread(task, "relay-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is gone in any case.
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        sockets.forEach(LinkRelay::closeQuietly);
    }
}
