package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.admission.OutageForecast;
import org.ragwortmoor.coordination.admission.WaitingOrder;
import org.ragwortmoor.coordination.placement.ConnectionPlan;
import org.ragwortmoor.coordination.placement.HolderRanking;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.Route;

/** The servers of one group, with their leader, known log positions and connection requests. */
final class ServerGroup {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String name;
    private final SessionHost host;
    private final DecisionLog log;
    private final ReadServerSelector readSelector;
    private final LeaderTracker leader;
    private final PrimaryLease lease;
    private final FreshnessWindow freshness = new FreshnessWindow();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final WaitingOrder<ConnectionRequest> pendingRequests =
            new WaitingOrder<>(ConnectionRequest::priority, ConnectionRequest::deadline);
    private final HolderSelector holders;
    private ConnectionShare share = new ConnectionShare(1, 0, 1);
    private Option<Set<String>> workspaces = Option.none();
    private Option<Long> lastUsedAt = Option.none();
    private boolean wasActive;
    private boolean dispatching;
    private boolean dispatchAgain;

    ServerGroup(String name, SessionHost host, ProxyIdentity self, DecisionLog log) {
        this.name = name;
        this.host = host;
        this.log = log;
        this.readSelector = new ReadServerSelector(host, self, name);
        this.lease = new PrimaryLease(host);
        this.leader = new LeaderTracker(this, host, log);
        this.holders = new HolderSelector(host, self.name(), this);
    }

    String name() {
        return name;
    }

    DecisionLog log() {
        return log;
    }

    LeaderTracker leader() {
        return leader;
    }

    PrimaryLease lease() {
        return lease;
    }

    Map<String, Server> servers() {
        return servers;
    }

    ConnectionShare share() {
        return share;
    }

    /** Sets the names of the workspaces; none if there are no workspaces. */
    void setWorkspaces(Option<Set<String>> names) {
        workspaces = names;
    }

    boolean hasWorkspaces() {
        return workspaces.isDefined();
    }

    /** Returns whether connections of a workspace, or of none if it is empty, can be of use. */
    boolean hasWorkspace(String workspace) {
        return workspace.isEmpty() || workspaces.exists(names -> names.contains(workspace));
    }

    int waitingCount() {
        return pendingRequests.size();
    }

    /** Returns the selector of the proxy that executes a statement. */
    HolderSelector holders() {
        return holders;
    }

    /** Records that this proxy executes a statement of the group. */
    void markUsed() {
        lastUsedAt = Option.some(host.now());
        activateIfNeeded();
    }

    private void activateIfNeeded() {
        boolean nowActive = active();
        if (nowActive && !wasActive) {
            lease.awaitGrant();
        }
        wasActive = nowActive;
    }

    /** Returns whether the primary needs attention that should not wait for the next report. */
    boolean needsAttention(long silenceNanos) {
        Server server = leader().server();
        return active()
                && server != null
                && (leader().nanosWithoutProof() >= silenceNanos
                        || leader().hasDenied()
                        || server.lastOpenFailed()
                        || !lease().permitsWork(server));
    }

    /** Returns whether this proxy holds connections to the group or has used it recently. */
    boolean active() {
        return holders.holdsConnections()
                || lastUsedAt.exists(at -> host.now() - at < SessionSettings.GROUP_USE_NANOS);
    }

    /** Returns whether the leader does not answer this proxy, or may not be used by it. */
    boolean leaderUnreachable() {
        return Math.max(leader.nanosWithoutProof(), lease.nanosWithoutLease())
                        >= SessionSettings.LEADER_LOST_TIMEOUT_NANOS
                && !leader.hasDenied();
    }

    /** Returns whether this proxy reaches neither the leader nor a proxy that may reach it. */
    boolean unreachable() {
        return active()
                ? leader.nanosWithoutProof() >= SessionSettings.LEADER_LOST_TIMEOUT_NANOS
                : !holders.reachesHolder();
    }

    /** Applies the servers and the proxies of a new directory view. */
    void update(
            List<ServerRecord> records, ConnectionPlan plan, HolderRanking ranking, Fleet fleet) {
        holders.update(ranking, fleet.neighbours());
        share = ConnectionShare.of(plan, holders.holdsConnections(), hasWorkspaces());
        readSelector.setPlan(plan);
        Map<String, ServerRecord> recordsById = new HashMap<>();
        records.forEach(record -> recordsById.put(record.id(), record));
        for (Server server : List.copyOf(servers.values())) {
            ServerRecord record = recordsById.get(server.record().id());
            boolean removed = record == null || record.state() == ServerState.GONE;
            if (removed || record.startedAtMillis() != server.record().startedAtMillis()) {
                servers.remove(server.record().id());
                if (server == leader.server()) {
                    lease.release();
                }
                server.closeAll("the server has ended");
            }
        }
        for (ServerRecord record : records) {
            if (record.state() == ServerState.GONE) {
                continue;
            }
            Server server = servers.get(record.id());
            if (server == null) {
                servers.put(record.id(), new Server(host, this, record));
            } else {
                server.update(record);
            }
        }
        Option<ServerRecord> primary =
                Option.ofOptional(records.stream().filter(ServerRecord::primary).findFirst());
        leader.setDirectoryLeader(primary.map(ServerRecord::id));
        dispatch();
    }

    /** Returns the state as one line of the state dump. */
    String describe() {
        return GroupDescription.of(this);
    }

    /** Opens and closes idle connections, probes the leader and expires connection requests. */
    void tick() {
        for (Server server : servers.values()) {
            int available = server.idleCount() + server.opening();
            // With many workspaces, the one of the next statement is not known in advance.
            if (!hasWorkspaces()
                    && share.retained() > 0
                    && server.acceptsReads()
                    && available < SessionSettings.MIN_IDLE_CONNECTIONS
                    && server.canOpen(share)) {
                server.open("", OpeningCause.ADVANCE);
            }
            server.closeSurplusIdle(share);
            server.closeIdleOfRemovedWorkspaces();
        }
        activateIfNeeded();
        if (wasActive) {
            leader.tick();
        }
        long now = host.now();
        for (ConnectionRequest request : pendingRequests.inOrder()) {
            if (now - request.deadline() >= 0 && pendingRequests.remove(request)) {
                request.listener().expired();
            }
        }
        dispatch();
    }

    /** Returns the position that a read must see, if one is known. */
    Option<Position> requiredPosition(long since) {
        return freshness.requiredPosition(since, clockOffsetMillis());
    }

    /** Records a proof of leadership: an answer that only the leader gives. */
    void recordProof(
            Server server, Option<Position> position, long requestedAt, long clockOffsetAtRequest) {
        leader.recordProof(server, position, requestedAt);
        if (lease.permitsAnswers(server)) {
            position.forEach(p -> freshness.add(p, requestedAt, clockOffsetAtRequest, host.now()));
        }
    }

    /**
     * Returns whether the answer to a write may be passed on. Without a lease, the server may have
     * been replaced before it executed the write.
     *
     * @param leaseAtSend grant number of the lease under which the write was sent
     */
    boolean mayPassOnAnswer(Server server, long leaseAtSend) {
        return lease.permitsAnswers(server) && lease.grantNumber() == leaseAtSend;
    }

    /** Ends the lease on the leader because the directory withholds it. */
    void withholdLease() {
        Server server = leader.server();
        if (server != null && server.hasStatementsInProgress()) {
            lease.withhold();
        } else {
            lease.release();
        }
    }

    /**
     * Ends the lease if the leader does not answer or denies its leadership.
     *
     * @return whether a lease on the leader is requested
     */
    boolean leaderUsable() {
        boolean usable = leader.mayLead();
        if (!usable) {
            lease.release();
        }
        return usable;
    }

    /** Returns the wall clock minus the monotonic clock, in milliseconds. */
    long clockOffsetMillis() {
        return host.wallMillis() - host.now() / NANOS_PER_MILLI;
    }

    void observePosition(Option<Position> position) {
        position.forEach(p -> leader.observeTerm(p.term()));
    }

    /** Returns the forecast of the end of the leader's outage, if there is one. */
    OutageForecast outageForecast() {
        long outage = Math.max(leader.nanosWithoutProof(), lease.nanosWithoutLease());
        return new OutageForecast(outage, lease.durationNanos());
    }

    /**
     * Returns the delay that a refused caller is told, in milliseconds.
     *
     * @param statementId id of the statement, by which the delays are spread
     */
    int retryAfterMillis(String statementId) {
        double spread = (statementId.hashCode() & Integer.MAX_VALUE) / (double) Integer.MAX_VALUE;
        return outageForecast().retryAfterMillis(spread);
    }

    /** Returns until when a statement may wait for a connection. */
    long connectionDeadline(ConnectionRequest.Target target, Route route, long sendDeadline) {
        return target == ConnectionRequest.Target.ANY
                ? sendDeadline
                : outageForecast()
                        .waitDeadline(
                                host.now(),
                                sendDeadline,
                                TimeUnit.MILLISECONDS.toNanos(route.targetMillis()));
    }

    /** Requests a connection; the listener may be called before this method returns. */
    void requestConnection(ConnectionRequest request) {
        request.markQueued(host.now());
        pendingRequests.add(request);
        dispatch();
    }

    /** Cancels a connection request. */
    void cancelRequest(ConnectionRequest request) {
        pendingRequests.remove(request);
    }

    /** Grants pending requests in the order of priority and arrival, as far as possible. */
    void dispatch() {
        if (dispatching) {
            dispatchAgain = true;
            return;
        }
        dispatching = true;
        try {
            do {
                dispatchAgain = false;
                dispatchOnce();
            } while (dispatchAgain);
        } finally {
            // An error of one statement must not keep all later ones from being dispatched.
            dispatching = false;
        }
    }

    private void dispatchOnce() {
        Map<Opening, Integer> openingsNeeded = new HashMap<>();
        for (ConnectionRequest request : pendingRequests.inOrder()) {
            String workspace = request.workspace();
            Server server = selectServer(request);
            if (server == null) {
                if (request.target() == ConnectionRequest.Target.ANY
                        && !hasEligibleServer(request)
                        && pendingRequests.remove(request)) {
                    request.listener().exhausted();
                }
                continue;
            }
            if (server.idleCount(workspace) > 0 && pendingRequests.remove(request)) {
                server.acquireIdle(workspace, request.values()).forEach(request::grant);
                continue;
            }
            int needed = openingsNeeded.merge(new Opening(server, workspace), 1, Integer::sum);
            if (needed > server.opening(workspace)) {
                server.openFor(request, share);
            }
        }
    }

    private record Opening(Server server, String workspace) {}

    /**
     * Returns whether a statement of a workspace has to wait here until another one ends, since
     * this proxy may open no more connections and those that it has are in use.
     */
    boolean connectionsUsedUp(String workspace, ConnectionRequest.Target target) {
        Server current = leader.server();
        long waiting =
                pendingRequests.inOrder().stream()
                        .filter(request -> request.workspace().equals(workspace))
                        .count();
        if (target == ConnectionRequest.Target.LEADER) {
            return current != null && current.usedUp(share, workspace, waiting);
        }
        return !servers.isEmpty()
                && servers.values().stream()
                        .allMatch(s -> !s.acceptsReads() || s.usedUp(share, workspace, waiting));
    }

    private Server selectServer(ConnectionRequest request) {
        Server current = leader.server();
        if (request.target() == ConnectionRequest.Target.LEADER) {
            boolean usable =
                    current != null
                            && current.acceptsLeaderWork()
                            && !leader.recentlyDenied()
                            && lease.permitsWork(current);
            return usable ? current : null;
        }
        return readSelector.select(servers.values(), request, current, share);
    }

    /** Returns whether a server remains that may serve a read later. */
    private boolean hasEligibleServer(ConnectionRequest request) {
        for (Server server : servers.values()) {
            boolean eligible = !request.excluded().contains(server.record().id());
            if (eligible
                    && server.acceptsReads()
                    && !server.unresponsive()
                    && !server.lastOpenFailed()) {
                return true;
            }
        }
        return false;
    }
}
