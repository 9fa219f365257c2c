package org.ragwortmoor.coordination.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.statement.StatementMessage;

/** A host in simulated time whose connections lead to {@link FakeServer}s. */
final class SimulatedHost implements SessionHost {
    private static final long HOP_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final Map<String, FakeServer> servers = new HashMap<>();
    private final Map<String, List<ServerLink>> connectionsByProxy = new HashMap<>();
    private final Map<String, SessionEngine> engines = new HashMap<>();
    private final Map<String, SimulatedLink> links = new LinkedHashMap<>();
    private long now = 1_000_000_000L;
    private long nextOrder;
    private long suspendedMillis;
    private int numbers;

    private record Task(long at, long order, Runnable run, boolean[] cancelled)
            implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    void add(FakeServer server) {
        servers.put(server.record().address(), server);
    }

    /** Returns a different number at each call. */
    int nextNumber() {
        return ++numbers;
    }

    /** Simulates a suspension of the VM: the wall clock advances, the monotonic clock does not. */
    void suspend(long millis) {
        suspendedMillis += millis;
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public long wallMillis() {
        return now / 1_000_000 + suspendedMillis;
    }

    @Override
    public Timer schedule(long deadline, Runnable task) {
        boolean[] cancelled = new boolean[1];
        tasks.add(new Task(Math.max(now, deadline), nextOrder++, task, cancelled));
        return () -> cancelled[0] = true;
    }

    /** Runs a task one network hop later. */
    void afterHop(Runnable task) {
        schedule(now + HOP_NANOS, task);
    }

    void afterMillis(long millis, Runnable task) {
        schedule(now + TimeUnit.MILLISECONDS.toNanos(millis), task);
    }

    /** Advances simulated time and runs the tasks that are due. */
    void advance(long millis) {
        long end = now + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task task = tasks.poll();
            now = task.at();
            if (!task.cancelled()[0]) {
                task.run().run();
            }
        }
        now = end;
    }

    @Override
    public ServerLink connect(ServerRecord record, ServerLinkListener listener) {
        return connect(record, listener, Set.of());
    }

    private ServerLink connect(
            ServerRecord record, ServerLinkListener listener, Set<String> unreachable) {
        Connection connection = new Connection(record.address(), listener, unreachable);
        afterHop(() -> connection.reachServer(servers.get(record.address())));
        return connection;
    }

    @Override
    public HolderLink link(String proxy, String address) {
        throw new UnsupportedOperationException("this host has no other proxies");
    }

    /** Adds the engine of a proxy, to which the others can forward; null while it is down. */
    void setEngine(String proxy, SessionEngine engine) {
        engines.put(proxy, engine);
        links.values().stream().filter(l -> l.leadsTo(proxy)).forEach(SimulatedLink::reset);
    }

    /** Resets all links between proxies. */
    void resetLinks() {
        List.copyOf(links.values()).forEach(SimulatedLink::reset);
    }

    /**
     * Returns a host for another proxy.
     *
     * @param self name of the proxy
     * @param unreachable addresses of the servers and names of the proxies that this proxy cannot
     *     reach; may change
     */
    SessionHost proxy(String self, Set<String> unreachable) {
        SimulatedHost shared = this;
        return new SessionHost() {
            @Override
            public HolderLink link(String proxy, String address) {
                return links.computeIfAbsent(
                        self + " to " + proxy,
                        key ->
                                new SimulatedLink(
                                        shared,
                                        self,
                                        proxy,
                                        () -> engines.get(proxy),
                                        unreachable));
            }

            @Override
            public long now() {
                return shared.now();
            }

            @Override
            public long wallMillis() {
                return shared.wallMillis();
            }

            @Override
            public Timer schedule(long deadline, Runnable task) {
                return shared.schedule(deadline, task);
            }

            @Override
            public ServerLink connect(ServerRecord record, ServerLinkListener listener) {
                ServerLink connection = shared.connect(record, listener, unreachable);
                connectionsByProxy.computeIfAbsent(self, p -> new ArrayList<>()).add(connection);
                return connection;
            }
        };
    }

    /** Closes all server connections of a proxy, as the end of its process does. */
    void closeConnections(String proxy) {
        connectionsByProxy.getOrDefault(proxy, List.of()).forEach(ServerLink::close);
        connectionsByProxy.remove(proxy);
    }

    /** A connection between the engine and a fake server. */
    final class Connection implements ServerLink {
        private final String address;
        private final ServerLinkListener listener;
        private final Set<String> unreachable;
        private FakeServer.Session session;
        private boolean closed;

        Connection(String address, ServerLinkListener listener, Set<String> unreachable) {
            this.address = address;
            this.listener = listener;
            this.unreachable = unreachable;
        }

        private boolean partitioned() {
            return unreachable.contains(address);
        }

        private void reachServer(FakeServer server) {
            if (partitioned() || (server != null && server.unresponsive())) {
                return;
            }
            if (server == null || server.refusesConnections()) {
                afterHop(() -> fail("refused"));
                return;
            }
            session = server.accept(this);
            afterHop(listener::opened);
        }

        void fail(String reason) {
            if (!closed) {
                closed = true;
                listener.closed(reason);
            }
        }

        /** Delivers a message from the server. */
        void deliver(StatementMessage message) {
            afterHop(
                    () -> {
                        if (!closed && !partitioned()) {
                            listener.received(message);
                        }
                    });
        }

        @Override
        public void send(List<StatementMessage> messages) {
            if (!closed && !partitioned()) {
                afterHop(() -> messages.forEach(session::received));
            }
        }

        @Override
        public void close() {
            closed = true;
            if (session != null) {
                afterHop(session::ended);
            }
        }
    }
}
