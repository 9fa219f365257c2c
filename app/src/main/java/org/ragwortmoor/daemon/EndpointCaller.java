package org.ragwortmoor.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.ragwortmoor.coordination.control.ControlAction;
import org.ragwortmoor.coordination.control.ControlEvent;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.transport.EndpointListener;
import org.ragwortmoor.transport.EndpointTransport;
import org.ragwortmoor.transport.TransportMetrics;
import org.ragwortmoor.transport.TransportSettings;

/**
 * Carries out a control process's calls to endpoints, on one administrative connection per
 * endpoint. Confined to the control loop.
 */
final class EndpointCaller implements EndpointListener, AutoCloseable {
    /** A call takes a round trip; a longer silence must not delay a promotion. */
    private static final long CALL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final EndpointTransport transport;
    private final String client;
    private final BiConsumer<ControlEvent, Long> events;
    private final Map<String, Connection> byAddress = new HashMap<>();
    private final Map<Long, Connection> byNumber = new HashMap<>();
    private long lastConnection;

    /**
     * Creates a caller.
     *
     * @param loop executor of the control loop
     * @param events receives answers and failures with the current time
     */
    EndpointCaller(
            TransportSettings settings,
            Executor loop,
            TransportMetrics metrics,
            String client,
            BiConsumer<ControlEvent, Long> events) {
        this.transport = new EndpointTransport(settings, loop, this, metrics);
        this.client = client;
        this.events = events;
    }

    /** Carries out a call; its answer or failure follows as an event. */
    void call(ControlAction.CallEndpoint call, long now) {
        Connection connection = byAddress.computeIfAbsent(call.address(), this::open);
        connection.waiting.put(call.call(), new Call(call, now + CALL_NANOS));
        if (connection.opened) {
            transport.send(connection.number, call.call(), call.request());
        }
    }

    /** Fails overdue calls; their connection is replaced because it may be silent. */
    void expire(long now) {
        for (Connection connection : List.copyOf(byNumber.values())) {
            boolean overdue =
                    connection.waiting.values().stream().anyMatch(c -> c.deadline - now <= 0);
            if (overdue) {
                transport.close(connection.number);
                fail(connection, "no answer in time", now);
            }
        }
    }

    private Connection open(String address) {
        lastConnection++;
        Connection connection = new Connection(lastConnection, address);
        byNumber.put(connection.number, connection);
        transport.open(address, connection.number, client, true);
        return connection;
    }

    private void fail(Connection connection, String reason, long now) {
        byNumber.remove(connection.number);
        byAddress.remove(connection.address, connection);
        new ArrayList<>(connection.waiting.keySet())
                .forEach(call -> events.accept(new ControlEvent.EndpointFailed(call, reason), now));
    }

    @Override
    public void opened(long number, EndpointStatus status) {
        Connection connection = byNumber.get(number);
        if (connection == null) {
            return;
        }
        connection.opened = true;
        connection.waiting.forEach((id, call) -> transport.send(number, id, call.action.request()));
    }

    @Override
    public void openFailed(long number, String reason) {
        lost(number, reason);
    }

    @Override
    public void lost(long number, String reason) {
        Connection connection = byNumber.get(number);
        if (connection != null) {
            fail(connection, reason, System.nanoTime());
        }
    }

    @Override
    public void answered(long number, long exchange, EndpointAnswer answer) {
        Connection connection = byNumber.get(number);
        if (connection != null && connection.waiting.remove(exchange) != null) {
            events.accept(new ControlEvent.EndpointAnswered(exchange, answer), System.nanoTime());
        }
    }

    @Override
    public void close() {
        transport.close();
    }

    /** A call that waits for its answer. */
    private record Call(ControlAction.CallEndpoint action, long deadline) {}

    /** A connection and the calls that wait on it. */
    private static final class Connection {
        private final long number;
        private final String address;
        private final Map<Long, Call> waiting = new HashMap<>();
        private boolean opened;

        Connection(long number, String address) {
            this.number = number;
            this.address = address;
        }
    }
}
