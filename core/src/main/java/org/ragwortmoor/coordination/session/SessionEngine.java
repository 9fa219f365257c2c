package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.ragwortmoor.coordination.placement.ConnectionPlan;
import org.ragwortmoor.coordination.placement.HolderRanking;
import org.ragwortmoor.coordination.workspace.OperationGate;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.Route;

/**
 * Serves statement sessions on the servers of the directory. The engine has no I/O, threads or
 * clock of its own; the host makes all calls on one thread.
 */
public final class SessionEngine {
    private final SessionHost host;
    private final ProxyIdentity self;
    private final DecisionLog log;
    private final PreparedStatementNames statementNames = new PreparedStatementNames();
    private final Map<String, ServerGroup> groups = new LinkedHashMap<>();
    private final Set<CallerSession> sessions = new LinkedHashSet<>();
    private final PendingHandshakes handshakes;
    private final KeyCheck keys;
    private final Set<ForwardingSession> forwardingSessions = new LinkedHashSet<>();
    private final ForwardingStreams streams = new ForwardingStreams();
    private DirectoryView view = DirectoryView.EMPTY;
    private Map<String, Route> routes = Map.of();
    private Option<Set<String>> workspaces = Option.none();
    private OperationGate gate = OperationGate.OPEN;
    private boolean leasesRequired = true;
    private boolean stopping;
    private boolean isolated;
    private boolean closingIdle;

    /**
     * Creates an engine without routes.
     *
     * @param self identity of the proxy
     */
    public SessionEngine(SessionHost host, ProxyIdentity self, DecisionLog log) {
        this.host = host;
        this.self = self;
        this.log = log;
        this.handshakes = new PendingHandshakes(host);
        this.keys = new KeyCheck(host);
    }

    /** Sets what decides whether operations of callers may start; any may by default. */
    public void setOperationGate(OperationGate newGate) {
        gate = newGate;
    }

    /** Starts to execute the statements that another proxy forwards over a new link. */
    public ForwardingSession acceptForwarding(String from) {
        ForwardingSession session = new ForwardingSession(this, from);
        forwardingSessions.add(session);
        return session;
    }

    /** Starts a caller's session. */
    public CallerSession accept(SessionHost.CallerLink link) {
        CallerSession session = new CallerSession(this, link);
        sessions.add(session);
        return session;
    }

    /** Applies a directory view; parts that are not newer than the current ones are ignored. */
    public void update(DirectoryView newView) {
        boolean routesChanged = newView.routesRevision() > view.routesRevision();
        boolean serversChanged = newView.serversRevision() > view.serversRevision();
        boolean fleetChanged = !newView.fleet().equals(view.fleet());
        if (!routesChanged && !serversChanged && !fleetChanged) {
            return;
        }
        view =
                new DirectoryView(
                        routesChanged ? newView.routes() : view.routes(),
                        routesChanged ? newView.routesRevision() : view.routesRevision(),
                        serversChanged ? newView.servers() : view.servers(),
                        serversChanged ? newView.serversRevision() : view.serversRevision(),
                        newView.fleet());
        if (routesChanged) {
            routes = view.routes().byDatabase();
            workspaces = view.routes().workspaceNames();
            keys.setWorkspaces(view.routes().workspaces());
        }
        updateGroups();
        log.directoryApplied(
                view.routes().version(), view.routesRevision(), view.serversRevision());
        if (routesChanged) {
            List.copyOf(sessions).forEach(CallerSession::keysChanged);
        }
        handshakes.retry();
    }

    /** Sets the time within which a removed key must be refused, in milliseconds; 0 for none. */
    public void setKeyRevocationLimit(long millis) {
        keys.authority().setLimit(millis);
    }

    /**
     * Records that the directory has confirmed a report; to be called once the revision of the
     * routes that the confirmation names has been applied.
     */
    public void reportConfirmed(long reportId) {
        keys.authority().reportConfirmed(reportId);
        handshakes.retry();
    }

    private void updateGroups() {
        for (GroupLimits limits : view.routes().groups()) {
            ServerGroup group =
                    groups.computeIfAbsent(limits.name(), n -> new ServerGroup(n, host, self, log));
            group.lease().setRequired(leasesRequired);
        }
        for (ServerGroup group : List.copyOf(groups.values())) {
            Option<GroupLimits> limits = view.routes().group(group.name());
            if (limits.isEmpty()) {
                continue;
            }
            List<ServerRecord> servers =
                    view.servers().stream().filter(s -> s.group().equals(group.name())).toList();
            Fleet fleet = view.fleet();
            ConnectionPlan plan =
                    ConnectionPlan.of(
                            limits.get().maxConnections(), fleet.proxies(), fleet.domains());
            List<String> neighbours = fleet.neighbours().keySet().toJavaList();
            group.setWorkspaces(workspaces);
            group.update(
                    servers,
                    plan,
                    HolderRanking.of(plan, group.name(), self.name(), neighbours),
                    fleet);
        }
    }

    /** Performs periodic work; to be called every {@link #tickNanos}. */
    public void tick() {
        groups.values().forEach(ServerGroup::tick);
        List.copyOf(forwardingSessions).forEach(ForwardingSession::tick);
    }

    /** Returns the interval of {@link #tick}, in nanoseconds. */
    public static long tickNanos() {
        return SessionSettings.TICK_INTERVAL_NANOS;
    }

    /**
     * Returns observations of the primaries for the failure detection of the control group, and
     * gives up the leases on primaries that do not answer.
     *
     * @param reportId number of the report that contains the observations and is sent at once;
     *     increases
     */
    public List<PrimaryObservation> observations(long reportId) {
        keys.authority().reportSent(reportId, host.now(), clockOffsetMillis());
        List<PrimaryObservation> found = new ArrayList<>();
        for (ServerGroup group : groups.values()) {
            Server server = group.leader().server();
            if (server != null && group.active()) {
                boolean usable = group.leaderUsable();
                found.add(
                        new PrimaryObservation(
                                group.name(),
                                server.record().id(),
                                group.leader().nanosWithoutProof(),
                                group.leader().hasDenied() || server.lastOpenFailed(),
                                group.lease().stateInReport(reportId),
                                usable));
            }
        }
        return found;
    }

    /** Returns whether a primary, or the check of keys, should not wait for the next report. */
    public boolean reportUrgent(long silenceNanos) {
        return keys.needsConfirmation()
                || groups.values().stream().anyMatch(group -> group.needsAttention(silenceNanos));
    }

    /** Sets whether primaries may be used only under a lease of the directory. */
    public void setLeasesRequired(boolean required) {
        leasesRequired = required;
        groups.values().forEach(group -> group.lease().setRequired(required));
    }

    /**
     * Applies the directory's answer to a report. Leases are granted for the servers that the
     * current view names as primaries.
     */
    public void grantLeases(LeaseAnswer answer, Set<String> withheldGroups) {
        answer.requested()
                .forEach(
                        (name, server) -> {
                            ServerGroup group = groups.get(name);
                            boolean primary =
                                    group != null && group.leader().isDirectoryLeader(server);
                            if (primary && !withheldGroups.contains(name)) {
                                group.lease()
                                        .grant(
                                                server,
                                                answer.reportId(),
                                                answer.reportedAt(),
                                                answer.clockOffsetMillis(),
                                                answer.leaseNanos());
                            }
                        });
        withholdLeases(withheldGroups);
        groups.values().forEach(ServerGroup::dispatch);
    }

    /** Ends the leases on the primaries of the groups, on which the directory grants none. */
    public void withholdLeases(Set<String> groupNames) {
        groupNames.forEach(name -> Option.of(groups.get(name)).forEach(ServerGroup::withholdLease));
    }

    /** Returns the wall clock minus the monotonic clock, in milliseconds. */
    public long clockOffsetMillis() {
        return host.wallMillis() - host.now() / 1_000_000;
    }

    /**
     * Returns whether callers can be served: routes and servers are known, and the proxy is neither
     * stopping nor isolated.
     */
    public boolean ready() {
        return !stopping && hasRoutes() && !view.servers().isEmpty() && !isolated;
    }

    /**
     * Sets whether the directory answers. A proxy that reaches neither the directory nor the
     * leaders of most groups is considered isolated by a partition, and callers are better served
     * by another proxy. If only the directory is unreachable, the proxy continues with its last
     * view.
     */
    public void setDirectoryReachable(boolean reachable) {
        int silentLeaders = 0;
        for (ServerGroup group : groups.values()) {
            if (group.unreachable()) {
                silentLeaders++;
            }
        }
        boolean nowIsolated = !reachable && silentLeaders * 2 > groups.size();
        if (nowIsolated != isolated) {
            isolated = nowIsolated;
            log.isolationChanged(nowIsolated, silentLeaders, groups.size());
        }
        if (isolated) {
            // Callers that reconnect reach another proxy.
            List.copyOf(sessions).forEach(CallerSession::closeIfIdle);
        }
    }

    /** Returns the current directory view. */
    public DirectoryView view() {
        return view;
    }

    /** Returns one line per group, and one about the keys if any, for the state dump. */
    public List<String> describe() {
        return Stream.concat(
                        keys.describe().toJavaStream(),
                        groups.values().stream().map(ServerGroup::describe))
                .toList();
    }

    /** Returns the number of sessions. */
    public int sessionCount() {
        return sessions.size();
    }

    /** Returns the number of statements waiting for a connection. */
    public int waitingCount() {
        return groups.values().stream().mapToInt(ServerGroup::waitingCount).sum();
    }

    /** Begins a planned stop; sessions stay open until {@link #closeIdleSessions}. */
    public void stop() {
        stopping = true;
    }

    /** Closes each session as soon as it has no work in progress. */
    public void closeIdleSessions() {
        closingIdle = true;
        for (CallerSession session : List.copyOf(sessions)) {
            session.closeIfIdle();
        }
    }

    /** Aborts open transactions that have no statement in progress. */
    public void abortIdleTransactions() {
        for (CallerSession session : List.copyOf(sessions)) {
            session.abortIdleTransaction("the process is stopping");
        }
        forwardingSessions.forEach(ForwardingSession::abortIdleTransactions);
    }

    /** Returns the number of executions for other proxies. */
    public int forwardedCount() {
        return forwardingSessions.stream().mapToInt(ForwardingSession::streamCount).sum();
    }

    SessionHost host() {
        return host;
    }

    ForwardingStreams streams() {
        return streams;
    }

    void forwardingEnded(ForwardingSession session) {
        forwardingSessions.remove(session);
    }

    OperationGate gate() {
        return gate;
    }

    KeyCheck keys() {
        return keys;
    }

    DecisionLog log() {
        return log;
    }

    PreparedStatementNames statementNames() {
        return statementNames;
    }

    Option<Route> route(String database) {
        return Option.of(routes.get(database));
    }

    ServerGroup group(String name) {
        return groups.get(name);
    }

    boolean hasRoutes() {
        return view.routesRevision() > 0;
    }

    /** Returns whether a planned stop has begun. */
    public boolean stopping() {
        return stopping;
    }

    long idleTransactionMillis() {
        return view.routes().idleTransactionMillis();
    }

    /** Completes the handshake of a session, immediately or when the first routes arrive. */
    void awaitRoutes(CallerSession session) {
        if (!hasRoutes() || !session.completeHandshake(true)) {
            handshakes.add(session);
        }
    }

    void sessionIdle(CallerSession session) {
        if (closingIdle) {
            session.closeIfIdle();
        }
    }

    void sessionClosed(CallerSession session) {
        sessions.remove(session);
        handshakes.remove(session);
    }
}
