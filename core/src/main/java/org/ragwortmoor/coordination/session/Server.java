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

/** A database server and the connection pool of this proxy to it. */
final class Server {
    /** Weight of the newest sample in the moving average of the latency. */
    private static final double LATENCY_WEIGHT = 0.2;

    private static final double NANOS_PER_MILLI = 1e6;

    private final SessionHost host;
    private final ServerGroup group;
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private final Deque<ServerConnection> idle = new ArrayDeque<>();
    private ServerRecord record;
    private int opening;
    private long openingStartedAt;
    private long lastReceivedAt;
    private long nextOpenAt;
    private long drainingSince;
    private long openFailedAt;
    private long overloadedAt;
    private boolean openHasFailed;
    private double averageLatencyMillis = 10;
    private double failureRate;
    private long failedAt;
    private Option<Position> lastPosition = Option.none();

    Server(SessionHost host, ServerGroup group, ServerRecord record) {
        this.host = host;
        this.group = group;
        this.record = record;
        this.lastReceivedAt = host.now();
        this.nextOpenAt = host.now();
        this.drainingSince = host.now();
        this.failedAt = host.now();
        this.overloadedAt = host.now() - SessionSettings.OVERLOAD_BACKOFF_NANOS;
    }

    ServerRecord record() {
        return record;
    }

    DecisionLog log() {
        return group.log();
    }

    void update(ServerRecord newRecord) {
        boolean notReady = newRecord.state() != ServerState.READY;
        if (notReady && record.state() == ServerState.READY) {
            drainingSince = host.now();
        }
        record = newRecord;
        if (notReady) {
            closeIdle();
        }
    }

    /** Returns whether the server accepts new reads. */
    boolean acceptsReads() {
        return record.state() == ServerState.READY;
    }

    /**
     * Returns whether the server, as leader, accepts new work; a draining leader does so for a
     * limited time.
     */
    boolean acceptsLeaderWork() {
        return record.state() == ServerState.READY
                || (record.state() == ServerState.DRAINING
                        && host.now() - drainingSince < SessionSettings.LEADER_DRAIN_NANOS);
    }

    /** Returns whether a statement has timed out while nothing was received from the server. */
    boolean unresponsive() {
        long now = host.now();
        if (now - lastReceivedAt < SessionSettings.RESPONSE_TIMEOUT_NANOS) {
            return false;
        }
        for (ServerConnection connection : connections) {
            Option<Long> pendingSince = connection.oldestPendingSince();
            if (pendingSince.exists(at -> now - at >= SessionSettings.RESPONSE_TIMEOUT_NANOS)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether opening a connection takes longer than on a working server. */
    boolean slowToOpen() {
        long now = host.now();
        return opening > 0
                && now - openingStartedAt > SessionSettings.SLOW_OPEN_NANOS
                && openingStartedAt - lastReceivedAt >= 0;
    }

    /** Returns whether no connection may be opened yet after a failed attempt. */
    boolean backingOff() {
        return host.now() - nextOpenAt < 0;
    }

    /**
     * Returns whether the last connection attempt was refused or timed out and nothing was received
     * since.
     */
    boolean lastOpenFailed() {
        return openHasFailed && openFailedAt - lastReceivedAt >= 0;
    }

    void recordReceived(long now) {
        lastReceivedAt = now;
    }

    /** Returns whether anything was received from the server after the given time. */
    boolean receivedSince(long time) {
        return lastReceivedAt - time > 0;
    }

    void observePosition(Option<Position> position) {
        // Any server may report a position; only the leader's answers count as proofs.
        group.observePosition(position);
        position.filter(p -> lastPosition.forAll(last -> p.compareTo(last) > 0))
                .forEach(p -> lastPosition = Option.some(p));
    }

    /** Returns the highest log position that the server has reported, if any. */
    Option<Position> lastPosition() {
        return lastPosition;
    }

    /** Adds the latency of a statement that succeeded, in nanoseconds, to the average. */
    void recordLatency(long nanos) {
        averageLatencyMillis += LATENCY_WEIGHT * (nanos / NANOS_PER_MILLI - averageLatencyMillis);
        failureRate -= LATENCY_WEIGHT * failureRate;
    }

    /** Records that the server executed a statement and failed. */
    void recordFailure() {
        failureRate += LATENCY_WEIGHT * (1 - failureRate);
        failedAt = host.now();
    }

    /** Returns the share of the recent statements that failed; 0 some time after the last one. */
    double failureRate() {
        boolean recent = host.now() - failedAt < SessionSettings.FAILURE_MEMORY_NANOS;
        return recent ? failureRate : 0;
    }

    double averageLatencyMillis() {
        return averageLatencyMillis;
    }

    /** Returns whether a statement has been sent and not yet answered. */
    boolean hasStatementsInProgress() {
        return connections.stream().anyMatch(c -> c.oldestPendingSince().isDefined());
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

    int connectionCount() {
        return connections.size();
    }

    /**
     * Returns whether another connection may be opened. Beyond the guaranteed share, the
     * connections of other proxies may fill the server, so a refusal limits this proxy to its share
     * for a while.
     */
    boolean canOpen(ConnectionShare share) {
        // Opening a connection occupies a slot of the server, for which statements then wait.
        if (backingOff() || opening >= Math.max(1, record.slots())) {
            return false;
        }
        boolean overloaded = host.now() - overloadedAt < SessionSettings.OVERLOAD_BACKOFF_NANOS;
        return connections.size() < (overloaded ? share.guaranteed() : share.maximum());
    }

    /** Closes the oldest idle connection beyond the retained ones once its idle time is over. */
    void closeSurplusIdle(ConnectionShare share) {
        ServerConnection oldest = idle.peekLast();
        boolean surplus = oldest != null && connections.size() > share.retained();
        if (surplus
                && host.now() - oldest.idleSince() > SessionSettings.SURPLUS_IDLE_TIMEOUT_NANOS) {
            oldest.close("surplus connection was idle");
        }
    }

    void open() {
        if (opening == 0) {
            openingStartedAt = host.now();
        }
        // Counted after it was created: one that failed would be counted as opening for ever.
        ServerConnection connection =
                new ServerConnection(host, this, host.now() + SessionSettings.OPEN_TIMEOUT_NANOS);
        opening++;
        connections.add(connection);
    }

    /** Removes and returns an idle connection, preferably one with the same session values. */
    Option<ServerConnection> acquireIdle(Map<String, String> values) {
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

    /** Returns a connection without an open transaction to the pool. */
    void release(ServerConnection connection) {
        if (!connection.usable()) {
            return;
        }
        if (record.state() != ServerState.READY && !acceptsLeaderWork()) {
            connection.close("the server is draining");
            return;
        }
        if (connection.replacementReason().isDefined()) {
            connection.close(connection.replacementReason().get());
            group.dispatch();
            return;
        }
        connection.markIdle(host.now());
        idle.addFirst(connection);
        group.dispatch();
    }

    void connectionOpened(ServerConnection connection) {
        opening--;
        connection.markIdle(host.now());
        idle.addFirst(connection);
        group.dispatch();
    }

    void connectionClosed(ServerConnection connection, String reason, boolean wasReady) {
        connections.remove(connection);
        idle.remove(connection);
        if (!wasReady) {
            opening--;
            // A server that answers the handshake with an error is reachable but full.
            if (lastReceivedAt - openingStartedAt >= 0) {
                overloadedAt = host.now();
            } else {
                openFailedAt = host.now();
                openHasFailed = true;
            }
            nextOpenAt = host.now() + SessionSettings.OPEN_BACKOFF_NANOS;
            group.log().connectionFailed(record.group(), record.id(), reason);
        } else {
            group.log().connectionLost(record.group(), record.id(), reason);
        }
    }

    void closeIdle() {
        for (ServerConnection connection : Set.copyOf(idle)) {
            connection.close("the server is draining");
        }
    }

    void closeAll(String reason) {
        for (ServerConnection connection : Set.copyOf(connections)) {
            connection.close(reason);
        }
    }
}
