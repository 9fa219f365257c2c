package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.coordination.engine.PooledConnection.State;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/** The connections of one proxy to the endpoints of a group. */
final class ConnectionPool {
    private static final String SILENT =
            "no ping was answered while the endpoint answered elsewhere";

    private final EngineContext ctx;
    private final Map<Long, PooledConnection> connections = new LinkedHashMap<>();
    private final Map<String, Backoff> backoffs = new LinkedHashMap<>();
    private long lastConnection;
    private int rotation;
    private boolean touched;

    ConnectionPool(EngineContext ctx) {
        this.ctx = ctx;
    }

    private static final class Backoff {
        private int failures;
        private long until = Long.MIN_VALUE;
    }

    /** Requests a look at all connections, because one of them or a share has changed. */
    void touch() {
        touched = true;
    }

    /** Opens missing connections, closes surplus ones and replaces silent ones. */
    void maintain() {
        if (!touched) {
            return;
        }
        touched = false;
        for (Member member : List.copyOf(ctx.members().values())) {
            replaceSilent(member);
            closeSurplus(member);
            openMissing(member);
        }
    }

    /** Connections are opened ahead of demand because opening takes about 10 ms. */
    private int target(Member member) {
        if (ctx.stopping() && ctx.tasks().isEmpty() && ctx.transactions().isEmpty()) {
            return 0;
        }
        int share = member.share().connections(ctx.now());
        return member.leaving() ? Math.min(1, share) : share;
    }

    private void openMissing(Member member) {
        Backoff backoff = backoffs.computeIfAbsent(member.name(), name -> new Backoff());
        int missing = target(member) - of(member).size();
        if (ctx.now() < backoff.until) {
            return;
        }
        // After a failure one connection at a time probes the endpoint.
        int count = backoff.failures > 0 ? Math.min(1, missing) : missing;
        if (backoff.failures > 0 && of(member).stream().anyMatch(c -> c.state() == State.OPENING)) {
            return;
        }
        for (int i = 0; i < count; i++) {
            open(member);
        }
    }

    private void open(Member member) {
        PooledConnection connection = new PooledConnection(++lastConnection, member, ctx.now());
        connections.put(connection.id(), connection);
        ctx.act(
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
            ctx.act(new EngineAction.CloseConnection(id));
            return;
        }
        if (connection.state() != State.OPENING) {
            return;
        }
        connection.state(State.IDLE);
        ctx.count(Counter.CONNECTIONS_OPENED);
        Member member = connection.member();
        member.answered(ctx.now());
        backoff(member).failures = 0;
        backoff(member).until = Long.MIN_VALUE;
        schedulePing(connection);
        ctx.statuses().connected(member);
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
        postpone(connection.member());
        close(connection, reason);
    }

    /** Waits longer after each failure; jitter keeps proxies from connecting all at once. */
    private void postpone(Member member) {
        Backoff backoff = backoff(member);
        long longest =
                Math.min(
                        ctx.settings().backoffMaxNanos(),
                        ctx.settings().backoffMinNanos() << Math.min(backoff.failures, 10));
        long wait = longest / 2 + (long) (ctx.random().nextDouble() * longest / 2);
        backoff.failures++;
        backoff.until = ctx.now() + wait;
        ctx.timers().at(backoff.until, this::touch);
    }

    private Backoff backoff(Member member) {
        return backoffs.computeIfAbsent(member.name(), name -> new Backoff());
    }

    private void schedulePing(PooledConnection connection) {
        if (connection.state() == State.CLOSED) {
            return;
        }
        touch();
        if (connection.unansweredPings() * ctx.settings().pingIntervalNanos()
                <= 2 * ctx.settings().silentAfterNanos()) {
            connection.pinged(ctx.now());
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
        public void answered(EndpointAnswer answer) {
            connection.pingAnswered();
        }

        @Override
        public void lost(String reason) {
            // The connection is closed already.
        }
    }

    /**
     * Closes connections without ping answers if the endpoint answers elsewhere; otherwise one of
     * them gives way to a new connection that tests whether the endpoint answers at all.
     */
    private void replaceSilent(Member member) {
        long limit = ctx.settings().silentAfterNanos();
        List<PooledConnection> own = of(member);
        List<PooledConnection> silent =
                own.stream().filter(c -> c.open() && c.silentNanos(ctx.now()) >= limit).toList();
        if (silent.isEmpty()) {
            return;
        }
        boolean answers =
                own.stream().anyMatch(c -> c.open() && c.silentNanos(ctx.now()) < limit / 2);
        if (answers) {
            silent.forEach(this::closeSilent);
            return;
        }
        boolean probing = own.stream().anyMatch(c -> c.state() == State.OPENING);
        boolean full = own.size() >= target(member);
        if (!probing && full && ctx.now() >= backoff(member).until) {
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
        close(connection, SILENT);
    }

    private void closeSurplus(Member member) {
        int surplus = of(member).size() - target(member);
        for (PooledConnection connection : of(member)) {
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
        of(member).forEach(connection -> close(connection, reason));
        backoffs.remove(member.name());
    }

    /** Closes a connection; its unanswered calls learn that their outcome is unknown. */
    void close(PooledConnection connection, String reason) {
        if (connection.state() == State.CLOSED) {
            return;
        }
        connection.state(State.CLOSED);
        touch();
        connections.remove(connection.id());
        ctx.act(new EngineAction.CloseConnection(connection.id()));
        connection.takeAll().forEach(exchange -> exchange.handler().lost(reason));
    }

    /** Returns an idle connection, marked as lent, or null. */
    PooledConnection lend(Member member) {
        PooledConnection best = null;
        for (PooledConnection connection : of(member)) {
            boolean better =
                    best == null || connection.silentNanos(ctx.now()) < best.silentNanos(ctx.now());
            if (connection.state() == State.IDLE && better) {
                best = connection;
            }
        }
        if (best != null) {
            best.state(State.LENT);
        }
        return best;
    }

    boolean hasIdle(Member member) {
        return count(member, State.IDLE) > 0;
    }

    /** Takes a lent connection back without a reset; nothing may be left open on it. */
    void giveBack(PooledConnection connection) {
        if (connection.state() == State.LENT) {
            connection.state(State.IDLE);
            closeSurplus(connection.member());
        }
    }

    /** Takes a lent connection back; it is lent again after the endpoint acknowledged the reset. */
    void reset(PooledConnection connection) {
        if (connection.state() != State.LENT) {
            return;
        }
        connection.state(State.RESETTING);
        ctx.count(Counter.RESETS);
        send(
                connection,
                new EndpointCall.Reset(),
                new Exchange.Handler() {
                    @Override
                    public void answered(EndpointAnswer answer) {
                        if (answer instanceof EndpointAnswer.ResetDone) {
                            connection.state(State.LENT);
                            giveBack(connection);
                        } else {
                            close(connection, "the reset was refused");
                        }
                    }

                    @Override
                    public void lost(String reason) {
                        // The endpoint rolls back what was open when a connection ends.
                    }
                });
    }

    long send(PooledConnection connection, EndpointCall call, Exchange.Handler handler) {
        long sequence = ctx.nextSequence();
        connection.expect(new Exchange(sequence, sequence, ctx.now(), call, handler));
        ctx.act(new EngineAction.Send(connection.id(), sequence, call));
        return sequence;
    }

    /** Delivers an answer if its connection and exchange match a waiting call. */
    void answered(long id, long exchangeId, EndpointAnswer answer) {
        PooledConnection connection = connections.get(id);
        Exchange exchange = connection == null ? null : connection.take(exchangeId);
        if (exchange == null) {
            ctx.count(Counter.STRAY_ANSWERS);
            return;
        }
        if (!exchange.accepts(answer)) {
            exchange.handler().lost("the answer does not fit the call");
            close(connection, "the endpoint violated the protocol");
            return;
        }
        Member member = connection.member();
        member.answered(ctx.now());
        if (answer instanceof EndpointAnswer.StatusReport report) {
            ctx.statuses().reported(member, exchange, report.status());
        }
        exchange.handler().answered(answer);
    }

    /** Returns an open connection for calls beside statements, preferring answering ones. */
    PooledConnection anyOpen(Member member) {
        List<PooledConnection> open = of(member).stream().filter(PooledConnection::open).toList();
        if (open.isEmpty()) {
            return null;
        }
        long suspicious = 2 * ctx.settings().pingIntervalNanos();
        List<PooledConnection> good =
                open.stream().filter(c -> c.silentNanos(ctx.now()) < suspicious).toList();
        List<PooledConnection> choice = good.isEmpty() ? open : good;
        rotation++;
        return choice.get(Math.floorMod(rotation, choice.size()));
    }

    List<PooledConnection> of(Member member) {
        List<PooledConnection> own = new ArrayList<>();
        for (PooledConnection connection : connections.values()) {
            if (connection.member() == member) {
                own.add(connection);
            }
        }
        return own;
    }

    int count(Member member, State state) {
        return (int) of(member).stream().filter(c -> c.state() == state).count();
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }
}
