package org.ragwortmoor.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports on loopback for embedded deployments, whose members must know each other. */
public final class FreePorts {
    private FreePorts() {}

    /**
     * Returns distinct ports that are free now; another process may still take one of them.
     *
     * @throws IOException if the system has no free ports
     */
    public static List<Integer> find(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }
}
