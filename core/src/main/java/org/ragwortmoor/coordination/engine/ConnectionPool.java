package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.coordination.engine.PooledConnection.State;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/** The connections of a proxy to the endpoints of one group. */
final class ConnectionPool {
    private static final String SILENT_REASON =
            "no ping was answered while the endpoint answered elsewhere";

    private final EngineContext ctx;
    private final Map<Long, PooledConnection> connections = new LinkedHashMap<>();
    private final Map<String, Backoff> backoffs = new LinkedHashMap<>();
    private long lastConnectionId;
    private int nextOpenIndex;
    private boolean maintenanceRequested;

    ConnectionPool(EngineContext ctx) {
        this.ctx = ctx;
    }

    private static final class Backoff {
        private int failures;
        private long until = Long.MIN_VALUE;
    }

    /** Makes the next {@link #maintain} run, because a connection or a share has changed. */
    void requestMaintenance() {
        maintenanceRequested = true;
    }

    /** Opens missing connections, closes surplus ones and replaces unresponsive ones. */
    void maintain() {
        if (!maintenanceRequested) {
            return;
        }
        maintenanceRequested = false;
        for (Member member : List.copyOf(ctx.members().values())) {
            replaceSilent(member);
            closeSurplus(member);
            openMissing(member);
        }
    }

    /**
     * Returns the desired number of connections: the whole share, because opening one on demand
     * would add about 10 ms.
     */
    private int targetSize(Member member) {
        if (ctx.stopping() && ctx.tasks().isEmpty() && ctx.transactions().isEmpty()) {
            return 0;
        }
        int share = member.share().connections(ctx.now());
        return member.leaving() ? Math.min(1, share) : share;
    }

    private void openMissing(Member member) {
        Backoff backoff = backoffs.computeIfAbsent(member.name(), name -> new Backoff());
        int missing = targetSize(member) - connectionsTo(member).size();
        if (ctx.now() < backoff.until) {
            return;
        }
        // After a failure, probe the endpoint with one connection at a time.
        int count = backoff.failures > 0 ? Math.min(1, missing) : missing;
        if (backoff.failures > 0
                && connectionsTo(member).stream().anyMatch(c -> c.state() == State.OPENING)) {
            return;
        }
        for (int i = 0; i < count; i++) {
            open(member);
        }
    }

    private void open(Member member) {
        PooledConnection connection = new PooledConnection(++lastConnectionId, member, ctx.now());
        connections.put(connection.id(), connection);
        ctx.emit(
                new EngineAction.OpenConnection(
                        member.name(), member.info().address(), connection.id()));
        ctx.after(
                ctx.settings().connectTimeoutNanos(),
                () -> {
                    if (connection.state() == State.OPENING) {
                        failed(connection, "the connection was not opened in time");
                    }
                });
    }

    void opened(long id) {
        PooledConnection connection = connections.get(id);
        if (connection == null) {
            ctx.emit(new EngineAction.CloseConnection(id));
            return;
        }
        if (connection.state() != State.OPENING) {
            return;
        }
        connection.state(State.IDLE);
        ctx.count(Counter.CONNECTIONS_OPENED);
        Member member = connection.member();
        member.recordAnswer(ctx.now());
        backoff(member).failures = 0;
        backoff(member).until = Long.MIN_VALUE;
        schedulePing(connection);
        ctx.statuses().onConnected(member);
    }

    void failedToOpen(long id, String reason) {
        PooledConnection connection = connections.get(id);
        if (connection != null) {
            failed(connection, reason);
        }
    }

    void lost(long id, String reason) {
        PooledConnection connection = connections.get(id);
        if (connection != null) {
            failed(connection, reason);
        }
    }

    private void failed(PooledConnection connection, String reason) {
        ctx.count(Counter.CONNECTIONS_FAILED);
        backOff(connection.member());
        close(connection, reason);
    }

    /** Exponential backoff with jitter, so that proxies do not reconnect at the same time. */
    private void backOff(Member member) {
        Backoff backoff = backoff(member);
        long maxDelay =
                Math.min(
                        ctx.settings().backoffMaxNanos(),
                        ctx.settings().backoffMinNanos() << Math.min(backoff.failures, 10));
        long delay = maxDelay / 2 + (long) (ctx.random().nextDouble() * maxDelay / 2);
        backoff.failures++;
        backoff.until = ctx.now() + delay;
        ctx.timers().schedule(backoff.until, this::requestMaintenance);
    }

    private Backoff backoff(Member member) {
        return backoffs.computeIfAbsent(member.name(), name -> new Backoff());
    }

    private void schedulePing(PooledConnection connection) {
        if (connection.state() == State.CLOSED) {
            return;
        }
        requestMaintenance();
        if (connection.unansweredPings() * ctx.settings().pingIntervalNanos()
                <= 2 * ctx.settings().silentAfterNanos()) {
            connection.recordPing(ctx.now());
            send(connection, new EndpointCall.Ping(), new PingHandler(connection));
        }
        ctx.after(ctx.settings().pingIntervalNanos(), () -> schedulePing(connection));
    }

    private static final class PingHandler implements Exchange.Handler {
        private final PooledConnection connection;

        private PingHandler(PooledConnection connection) {
            this.connection = connection;
        }

        @Override
        public void onAnswer(EndpointAnswer answer) {
            connection.recordPingAnswer();
        }

        @Override
        public void onConnectionLost(String reason) {
            // The connection is already closed.
        }
    }

    /**
     * Closes connections without ping answers if the endpoint answers on another connection.
     * Otherwise closes one of them, if the pool is full, to make room for a new connection that
     * probes the endpoint.
     */
    private void replaceSilent(Member member) {
        long limit = ctx.settings().silentAfterNanos();
        List<PooledConnection> own = connectionsTo(member);
        List<PooledConnection> silent =
                own.stream().filter(c -> c.isOpen() && c.silentNanos(ctx.now()) >= limit).toList();
        if (silent.isEmpty()) {
            return;
        }
        boolean responsiveElsewhere =
                own.stream().anyMatch(c -> c.isOpen() && c.silentNanos(ctx.now()) < limit / 2);
        if (responsiveElsewhere) {
            silent.forEach(this::closeSilent);
            return;
        }
        boolean probing = own.stream().anyMatch(c -> c.state() == State.OPENING);
        boolean atTargetSize = own.size() >= targetSize(member);
        if (!probing && atTargetSize && ctx.now() >= backoff(member).until) {
            closeSilent(
                    silent.stream()
                            .filter(c -> c.state() == State.IDLE)
                            .findFirst()
                            .orElse(silent.get(0)));
            backoff(member).failures++;
        }
    }

    private void closeSilent(PooledConnection connection) {
        ctx.count(Counter.CONNECTIONS_SILENT);
        close(connection, SILENT_REASON);
    }

    private void closeSurplus(Member member) {
        int surplus = connectionsTo(member).size() - targetSize(member);
        for (PooledConnection connection : connectionsTo(member)) {
            if (surplus <= 0) {
                return;
            }
            if (connection.state() == State.IDLE || connection.state() == State.OPENING) {
                close(connection, "more connections than the share allows");
                surplus--;
            }
        }
    }

    void closeAll(Member member, String reason) {
        connectionsTo(member).forEach(connection -> close(connection, reason));
        backoffs.remove(member.name());
    }

    /** Closes a connection and reports it as lost to the handlers of its unanswered calls. */
    void close(PooledConnection connection, String reason) {
        if (connection.state() == State.CLOSED) {
            return;
        }
        connection.state(State.CLOSED);
        requestMaintenance();
        connections.remove(connection.id());
        ctx.emit(new EngineAction.CloseConnection(connection.id()));
        connection
                .removeAllExchanges()
                .forEach(exchange -> exchange.handler().onConnectionLost(reason));
    }

    /** Takes the most responsive idle connection; returns null if none is idle. */
    PooledConnection acquire(Member member) {
        PooledConnection best = null;
        for (PooledConnection connection : connectionsTo(member)) {
            boolean better =
                    best == null || connection.silentNanos(ctx.now()) < best.silentNanos(ctx.now());
            if (connection.state() == State.IDLE && better) {
                best = connection;
            }
        }
        if (best != null) {
            best.state(State.IN_USE);
        }
        return best;
    }

    boolean hasIdle(Member member) {
        return count(member, State.IDLE) > 0;
    }

    /** Returns a connection to the pool without a reset; it must have no open transaction. */
    void release(PooledConnection connection) {
        if (connection.state() == State.IN_USE) {
            connection.state(State.IDLE);
            closeSurplus(connection.member());
        }
    }

    /** Resets a connection and returns it to the pool when the endpoint acknowledges the reset. */
    void resetAndRelease(PooledConnection connection) {
        if (connection.state() != State.IN_USE) {
            return;
        }
        connection.state(State.RESETTING);
        ctx.count(Counter.RESETS);
        send(
                connection,
                new EndpointCall.Reset(),
                new Exchange.Handler() {
                    @Override
                    public void onAnswer(EndpointAnswer answer) {
                        if (answer instanceof EndpointAnswer.ResetDone) {
                            connection.state(State.IN_USE);
                            release(connection);
                        } else {
                            close(connection, "the reset was refused");
                        }
                    }

                    @Override
                    public void onConnectionLost(String reason) {
                        // The endpoint rolls back an open transaction when its connection ends.
                    }
                });
    }

    long send(PooledConnection connection, EndpointCall call, Exchange.Handler handler) {
        long sequence = ctx.nextSequence();
        connection.addExchange(new Exchange(sequence, sequence, ctx.now(), call, handler));
        ctx.emit(new EngineAction.Send(connection.id(), sequence, call));
        return sequence;
    }

    /**
     * Delivers an answer to the call that it matches by connection and exchange, if there is one.
     */
    void deliver(long id, long exchangeId, EndpointAnswer answer) {
        PooledConnection connection = connections.get(id);
        Exchange exchange = connection == null ? null : connection.removeExchange(exchangeId);
        if (exchange == null) {
            ctx.count(Counter.STRAY_ANSWERS);
            return;
        }
        if (!exchange.accepts(answer)) {
            exchange.handler().onConnectionLost("the answer does not fit the call");
            close(connection, "the endpoint violated the protocol");
            return;
        }
        Member member = connection.member();
        member.recordAnswer(ctx.now());
        if (answer instanceof EndpointAnswer.StatusReport report) {
            ctx.statuses().recordStatus(member, exchange, report.status());
        }
        exchange.handler().onAnswer(answer);
    }

    /**
     * Returns an open connection for status requests, in rotation over the responsive ones; null if
     * none is open.
     */
    PooledConnection anyOpen(Member member) {
        List<PooledConnection> open =
                connectionsTo(member).stream().filter(PooledConnection::isOpen).toList();
        if (open.isEmpty()) {
            return null;
        }
        long silenceLimit = 2 * ctx.settings().pingIntervalNanos();
        List<PooledConnection> responsive =
                open.stream().filter(c -> c.silentNanos(ctx.now()) < silenceLimit).toList();
        List<PooledConnection> candidates = responsive.isEmpty() ? open : responsive;
        nextOpenIndex++;
        return candidates.get(Math.floorMod(nextOpenIndex, candidates.size()));
    }

    List<PooledConnection> connectionsTo(Member member) {
        List<PooledConnection> own = new ArrayList<>();
        for (PooledConnection connection : connections.values()) {
            if (connection.member() == member) {
                own.add(connection);
            }
        }
        return own;
    }

    int count(Member member, State state) {
        return (int) connectionsTo(member).stream().filter(c -> c.state() == state).count();
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }
}
