package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;

/** A database server with this proxy's connections to it. */
final class Server {
    /** Weight of the newest sample in the average latency. */
    private static final double LATENCY_WEIGHT = 0.2;

    private static final double NANOS_PER_MILLI = 1e6;

    private final SessionHost host;
    private final ServerGroup group;
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private final Deque<ServerConnection> idle = new ArrayDeque<>();
    private ServerRecord record;
    private int opening;
    private long openedAt;
    private long heardAt;
    private long retryAt;
    private long drainingSince;
    private long refusedAt;
    private long overloadedAt;
    private boolean everRefused;
    private double latencyMillis = 10;

    Server(SessionHost host, ServerGroup group, ServerRecord record) {
        this.host = host;
        this.group = group;
        this.record = record;
        this.heardAt = host.now();
        this.retryAt = host.now();
        this.drainingSince = host.now();
        this.overloadedAt = host.now() - SessionSettings.OVERLOAD_MEMORY;
    }

    ServerRecord record() {
        return record;
    }

    void update(ServerRecord changed) {
        boolean leaves = changed.state() != ServerState.READY;
        if (leaves && record.state() == ServerState.READY) {
            drainingSince = host.now();
        }
        record = changed;
        if (leaves) {
            closeIdle();
        }
    }

    /** Returns whether new reads may be sent. */
    boolean takesReads() {
        return record.state() == ServerState.READY;
    }

    /** Returns whether new work of the leader may be sent; it ends some time into a drain. */
    boolean takesLeaderWork() {
        return record.state() == ServerState.READY
                || (record.state() == ServerState.DRAINING
                        && host.now() - drainingSince < SessionSettings.DRAIN_WORK);
    }

    /** Returns whether a statement has been waiting without any sign of the server. */
    boolean silent() {
        long now = host.now();
        if (now - heardAt < SessionSettings.SILENCE) {
            return false;
        }
        for (ServerConnection connection : connections) {
            Option<Long> since = connection.waitingSince();
            if (since.exists(at -> now - at >= SessionSettings.SILENCE)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether connections are being opened for longer than a working server takes. */
    boolean slowToOpen() {
        long now = host.now();
        return opening > 0 && now - openedAt > SessionSettings.SLOW_OPEN && openedAt - heardAt >= 0;
    }

    /** Returns whether connections cannot be opened at present. */
    boolean backingOff() {
        return host.now() - retryAt < 0;
    }

    /** Returns whether the last connection attempt was refused or timed out. */
    boolean refusing() {
        return everRefused && refusedAt - heardAt >= 0;
    }

    void heard(long now) {
        heardAt = now;
    }

    /** Returns whether anything was heard of the server after a time. */
    boolean heardSince(long time) {
        return heardAt - time > 0;
    }

    void observe(Option<Position> position) {
        // Positions are only used as proofs where the connection shows that the server leads.
        group.seen(position);
    }

    /** Notes the time that a statement took, in nanoseconds. */
    void took(long nanos) {
        latencyMillis += LATENCY_WEIGHT * (nanos / NANOS_PER_MILLI - latencyMillis);
    }

    double latencyMillis() {
        return latencyMillis;
    }

    int inUse() {
        return connections.size() - idle.size() - opening;
    }

    int opening() {
        return opening;
    }

    int idleCount() {
        return idle.size();
    }

    int size() {
        return connections.size();
    }

    /**
     * Returns whether another connection may be opened. Beyond the proxy's share the other proxies'
     * connections may leave no room, so a refusal ends that for a while.
     */
    boolean mayOpen(ConnectionShare share) {
        // Each opening takes a slot of the server for a while, which statements then wait for.
        if (backingOff() || opening >= Math.max(1, record.slots())) {
            return false;
        }
        boolean overloaded = host.now() - overloadedAt < SessionSettings.OVERLOAD_MEMORY;
        return connections.size() < (overloaded ? share.own() : share.most());
    }

    /** Closes a connection beyond those to be kept that has not been used for a while. */
    void trim(ConnectionShare share) {
        ServerConnection oldest = idle.peekLast();
        boolean surplus = oldest != null && connections.size() > share.kept();
        if (surplus && host.now() - oldest.idleSince() > SessionSettings.SURPLUS_IDLE) {
            oldest.close("not used any more");
        }
    }

    void open() {
        if (opening == 0) {
            openedAt = host.now();
        }
        opening++;
        connections.add(
                new ServerConnection(host, this, host.now() + SessionSettings.OPEN_TIMEOUT));
    }

    /** Returns an idle connection, one with the same session values if there is one. */
    Option<ServerConnection> take(Map<String, String> values) {
        ServerConnection best = null;
        for (ServerConnection connection : idle) {
            if (connection.valuesKnown() && connection.values().equals(values)) {
                best = connection;
                break;
            }
            if (best == null || connection.values().isEmpty()) {
                best = connection;
            }
        }
        if (best != null) {
            idle.remove(best);
        }
        return Option.of(best);
    }

    /** Takes back a connection that is outside of a transaction. */
    void release(ServerConnection connection) {
        if (!connection.usable()) {
            return;
        }
        if (record.state() != ServerState.READY && !takesLeaderWork()) {
            connection.close("the server leaves");
            return;
        }
        connection.becameIdle(host.now());
        idle.addFirst(connection);
        group.dispatch();
    }

    void opened(ServerConnection connection) {
        opening--;
        connection.becameIdle(host.now());
        idle.addFirst(connection);
        group.dispatch();
    }

    void lost(ServerConnection connection, String reason, boolean wasReady) {
        connections.remove(connection);
        idle.remove(connection);
        if (!wasReady) {
            opening--;
            // A server that answers a greeting with an error is there.
            if (heardAt - openedAt >= 0) {
                overloadedAt = host.now();
            } else {
                refusedAt = host.now();
                everRefused = true;
            }
            retryAt = host.now() + SessionSettings.OPEN_BACKOFF;
            group.log().connectionFailed(record.group(), record.id(), reason);
        } else {
            group.log().connectionLost(record.group(), record.id(), reason);
        }
    }

    void closeIdle() {
        for (ServerConnection connection : Set.copyOf(idle)) {
            connection.close("the server leaves");
        }
    }

    void closeAll(String reason) {
        for (ServerConnection connection : Set.copyOf(connections)) {
            connection.close(reason);
        }
    }
}
