package org.ragwortmoor.coordination.session;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.statement.StatementMessage;

/** A host in virtual time whose connections lead to {@link FakeServer}s. */
final class VirtualHost implements SessionHost {
    private static final long HOP = TimeUnit.MICROSECONDS.toNanos(500);

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final Map<String, FakeServer> servers = new HashMap<>();
    private long now = 1_000_000_000L;
    private long order;
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

    /** Returns another number at each call. */
    int nextNumber() {
        return ++numbers;
    }

    /** The machine sleeps: the time of day goes on, the monotonic clock does not. */
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
        tasks.add(new Task(Math.max(now, deadline), order++, task, cancelled));
        return () -> cancelled[0] = true;
    }

    /** Runs a task one network hop later. */
    void hop(Runnable task) {
        schedule(now + HOP, task);
    }

    void after(long millis, Runnable task) {
        schedule(now + TimeUnit.MILLISECONDS.toNanos(millis), task);
    }

    /** Lets virtual time pass. */
    void run(long millis) {
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
        hop(() -> connection.arrive(servers.get(record.address())));
        return connection;
    }

    /**
     * Returns a host for one more proxy.
     *
     * @param unreachable addresses of the servers that this proxy is cut off from; may change
     */
    SessionHost proxy(Set<String> unreachable) {
        VirtualHost shared = this;
        return new SessionHost() {
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
                return shared.connect(record, listener, unreachable);
            }
        };
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

        private boolean cut() {
            return unreachable.contains(address);
        }

        private void arrive(FakeServer server) {
            if (cut() || (server != null && server.dark())) {
                return;
            }
            if (server == null || server.refuses()) {
                hop(() -> fail("refused"));
                return;
            }
            session = server.accept(this);
            hop(listener::opened);
        }

        void fail(String reason) {
            if (!closed) {
                closed = true;
                listener.closed(reason);
            }
        }

        /** Delivers a message of the server. */
        void deliver(StatementMessage message) {
            hop(
                    () -> {
                        if (!closed && !cut()) {
                            listener.received(message);
                        }
                    });
        }

        @Override
        public void send(List<StatementMessage> messages) {
            if (!closed && !cut()) {
                hop(() -> messages.forEach(session::received));
            }
        }

        @Override
        public void close() {
            closed = true;
            if (session != null) {
                hop(session::ended);
            }
        }
    }
}
