package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortmoor.coordination.balancing.AnswerFigures;
import org.ragwortmoor.coordination.balancing.ServerLoad;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;

/**
 * A database server and the connection pool of this proxy to it. A connection belongs to one
 * workspace for its lifetime, or to none.
 */
final class Server implements ServerLoad {
    private final SessionHost host;
    private final AnswerFigures figures;
    private final ServerGroup group;
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private final IdleConnections idle = new IdleConnections();
    private final RecentUses recentUses = new RecentUses();
    private final Set<ServerConnection> probing = new HashSet<>();
    private final Map<String, Integer> openingByWorkspace = new HashMap<>();
    private ServerRecord record;
    private int opening;
    private long openingStartedAt;
    private long lastReceivedAt;
    private long nextOpenAt;
    private long drainingSince;
    private long openFailedAt;
    private long overloadedAt;
    private boolean openHasFailed;
    private boolean replacing;
    private Option<Position> lastPosition = Option.none();

    Server(SessionHost host, ServerGroup group, ServerRecord record) {
        this.host = host;
        this.group = group;
        this.record = record;
        this.lastReceivedAt = host.now();
        this.nextOpenAt = host.now();
        this.drainingSince = host.now();
        this.figures = new AnswerFigures(host.now());
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

    /** Adds the latency of a statement that succeeded, in nanoseconds, to the figures. */
    void recordLatency(long nanos) {
        figures.recordAnswer(nanos, host.now());
    }

    /** Records that the server executed a statement and failed. */
    void recordFailure() {
        figures.recordFailure(host.now());
    }

    @Override
    public AnswerFigures figures() {
        return figures;
    }

    @Override
    public int slots() {
        return record.slots();
    }

    /** Returns whether a statement has been sent and not yet answered. */
    boolean hasStatementsInProgress() {
        return connections.stream().anyMatch(c -> c.oldestPendingSince().isDefined());
    }

    @Override
    public int inUse() {
        return connections.size() - idle.count() - opening;
    }

    int opening() {
        return opening;
    }

    int opening(String workspace) {
        return openingByWorkspace.getOrDefault(workspace, 0);
    }

    int idleCount() {
        return idle.count();
    }

    int idleCount(String workspace) {
        return idle.count(workspace);
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
        return mayStartOpening() && connections.size() < limit(share);
    }

    /**
     * Returns whether a connection of a workspace may be opened, if need be in place of an idle
     * connection of another one.
     */
    boolean canOpen(ConnectionShare share, String workspace) {
        return (connections.size() < limit(share) || canReplace(workspace)) && mayStartOpening();
    }

    /** Returns whether the idle connections all belong to other workspaces, and there are some. */
    private boolean canReplace(String workspace) {
        return idle.count() > 0 && idle.count(workspace) == 0;
    }

    private boolean mayStartOpening() {
        // Opening a connection occupies a slot of the server, for which statements then wait.
        return !backingOff() && opening < Math.max(1, record.slots());
    }

    private int limit(ConnectionShare share) {
        boolean overloaded = host.now() - overloadedAt < SessionSettings.OVERLOAD_BACKOFF_NANOS;
        return overloaded ? share.guaranteed() : share.maximum();
    }

    /**
     * Returns whether another request of the workspace has to wait for a statement to end.
     *
     * @param waiting requests of the workspace that wait already
     */
    boolean usedUp(ConnectionShare share, String workspace, long waiting) {
        int room = Math.max(0, limit(share) - connections.size());
        return idle.count() == 0 && opening(workspace) + room <= waiting;
    }

    /**
     * Opens a connection for a waiting request, if possible. Where idle connections of other
     * workspaces take up the guaranteed share, one of them is closed for it, so that holders that
     * start anew find room at the server.
     */
    void openFor(ConnectionRequest request, ConnectionShare share) {
        String workspace = request.workspace();
        if (!canOpen(share, workspace)) {
            return;
        }
        if (canReplace(workspace) && connections.size() >= share.guaranteed()) {
            long waited = host.now() - request.queuedAt();
            boolean mayWait = waited < SessionSettings.REPLACEMENT_DELAY_NANOS;
            // Replacements in parallel took so many slots at 3.2 times the load of the test that
            // more than half of the operations were late.
            if (opening > 0 || (mayWait && inUse(workspace) > 0)) {
                return;
            }
            closeIdle(idle.leastUseful(recentUses, host.now()), IdleClosingCause.REPLACED);
        }
        open(workspace, OpeningCause.DEMAND);
    }

    private long inUse(String workspace) {
        long all = connections.stream().filter(c -> c.workspace().equals(workspace)).count();
        return all - idle.count(workspace) - opening(workspace);
    }

    /** Closes the oldest idle connection beyond the retained ones once its idle time is over. */
    void closeSurplusIdle(ConnectionShare share) {
        ServerConnection oldest = idle.leastRecent();
        boolean surplus = oldest != null && connections.size() > share.retained();
        if (surplus
                && host.now() - oldest.idleSince() > SessionSettings.SURPLUS_IDLE_TIMEOUT_NANOS) {
            closeIdle(oldest, IdleClosingCause.SURPLUS);
        }
    }

    private void closeIdle(ServerConnection connection, IdleClosingCause cause) {
        group.log().idleConnectionClosed(cause.label());
        // Replacements are frequent where connections are scarce, so they are only counted.
        replacing = cause == IdleClosingCause.REPLACED;
        connection.close(cause.reason());
        replacing = false;
    }

    /** Closes idle connections of workspaces that no longer exist. */
    void closeIdleOfRemovedWorkspaces() {
        for (ServerConnection connection : idle.copy()) {
            long idleTime = host.now() - connection.idleSince();
            if (idleTime > SessionSettings.SURPLUS_IDLE_TIMEOUT_NANOS
                    && !group.hasWorkspace(connection.workspace())) {
                closeIdle(connection, IdleClosingCause.WORKSPACE_REMOVED);
            }
        }
    }

    /** Opens a connection of a workspace, or of none if the name is empty. */
    void open(String workspace, OpeningCause cause) {
        group.log().connectionOpening(cause.label());
        if (opening == 0) {
            openingStartedAt = host.now();
        }
        // Counted after it was created: one that failed would be counted as opening for ever.
        long deadline = host.now() + SessionSettings.OPEN_TIMEOUT_NANOS;
        ServerConnection connection = new ServerConnection(host, this, workspace, deadline);
        opening++;
        openingByWorkspace.merge(workspace, 1, Integer::sum);
        connections.add(connection);
    }

    /**
     * Removes and returns an idle connection of a workspace, preferably one with the same session
     * values.
     */
    Option<ServerConnection> acquireIdle(String workspace, Map<String, String> values) {
        if (!workspace.isEmpty()) {
            recentUses.record(workspace, host.now());
        }
        return idle.take(workspace, values);
    }

    /**
     * Removes and returns an idle connection for a probe, which any connection can carry. Where
     * there are workspaces, it is the one that is needed the least, and the probe does not count as
     * a use of it.
     */
    Option<ServerConnection> acquireForProbe() {
        if (!group.hasWorkspaces()) {
            return idle.take("", Map.of());
        }
        Option<ServerConnection> connection = idle.takeLeastRecent();
        connection.forEach(probing::add);
        return connection;
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
        if (probing.remove(connection)) {
            idle.addLeastRecent(connection);
        } else {
            connection.markIdle(host.now());
            idle.addMostRecent(connection);
        }
        group.dispatch();
    }

    private void openingEnded(ServerConnection connection) {
        opening--;
        openingByWorkspace.merge(
                connection.workspace(), -1, (a, b) -> a + b == 0 ? null : Integer.valueOf(a + b));
    }

    void connectionOpened(ServerConnection connection) {
        openingEnded(connection);
        figures.recordOpened(host.now());
        connection.markIdle(host.now());
        idle.addMostRecent(connection);
        group.dispatch();
    }

    void connectionClosed(ServerConnection connection, String reason, boolean wasReady) {
        connections.remove(connection);
        idle.remove(connection);
        probing.remove(connection);
        if (!wasReady) {
            openingEnded(connection);
            // A server that answers the handshake with an error is reachable but full.
            if (lastReceivedAt - openingStartedAt >= 0) {
                overloadedAt = host.now();
            } else {
                openFailedAt = host.now();
                openHasFailed = true;
                figures.recordUnreachable();
            }
            nextOpenAt = host.now() + SessionSettings.OPEN_BACKOFF_NANOS;
            group.log().connectionFailed(record.group(), record.id(), reason);
        } else if (!replacing) {
            group.log().connectionLost(record.group(), record.id(), reason);
        }
    }

    void closeIdle() {
        for (ServerConnection connection : idle.copy()) {
            connection.close("the server is draining");
        }
    }

    void closeAll(String reason) {
        for (ServerConnection connection : Set.copyOf(connections)) {
            connection.close(reason);
        }
    }
}
