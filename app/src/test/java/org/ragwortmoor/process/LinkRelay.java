package org.ragwortmoor.process;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortmoor.protocol.wire.PeerMessage;

/**
 * Relays connections of the peer protocol between processes and cuts them: the connections stay
 * open and their bytes are dropped, as on a network that loses all packets.
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
    private volatile String cutSender = "";

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
        cutSender = "";
        if (next == Cut.NONE) {
            sockets.forEach(LinkRelay::closeQuietly);
            sockets.clear();
        }
    }

    /** Cuts the connections that a process opens, both ways, and leaves the others. */
    void cutFrom(String sender) {
        cutSender = sender;
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
            Connection connection = new Connection();
            thread(() -> copy(connection, client, server, Cut.REQUESTS), "requests");
            thread(() -> copy(connection, server, client, Cut.ANSWERS), "answers");
        } catch (IOException e) {
            closeQuietly(client);
        }
    }

    /** A relayed connection; its sender is known from the first message that names it. */
    private static final class Connection {
        private volatile String sender = "";

        void learn(byte[] frame) throws IOException {
            if (sender.isEmpty()) {
                sender = PeerMessage.parseFrom(frame).getSender();
            }
        }
    }

    private boolean drops(Connection connection, Cut direction) {
        Cut now = cut;
        return now == Cut.BOTH
                || now == direction
                || (!cutSender.isEmpty() && cutSender.equals(connection.sender));
    }

    /** Copies whole frames, so that the first message can be read. */
    private void copy(Connection connection, Socket from, Socket to, Cut direction) {
        try (DataInputStream input =
                        new DataInputStream(new BufferedInputStream(from.getInputStream()));
                DataOutputStream output =
                        new DataOutputStream(new BufferedOutputStream(to.getOutputStream()))) {
            while (true) {
                byte[] frame = new byte[input.readInt()];
                input.readFully(frame);
                if (direction == Cut.REQUESTS) {
                    connection.learn(frame);
                }
                if (!drops(connection, direction)) {
                    output.writeInt(frame.length);
                    output.write(frame);
                    output.flush();
                }
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
