package org.ragwortmoor.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports below the range from which systems take ports of outgoing connections, so that
 * the port of a process stays free while the process is down.
 */
final class LoopbackPorts {
    private static final int FIRST = 15_000;
    private static final int END = 32_000;

    private LoopbackPorts() {}

    static List<Integer> find(int count) {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port = ThreadLocalRandom.current().nextInt(FIRST, END);
            if (!ports.contains(port) && free(port)) {
                ports.add(port);
            }
        }
        return ports;
    }

    private static boolean free(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
