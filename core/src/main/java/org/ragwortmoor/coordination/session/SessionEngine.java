package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.Route;

/**
 * Serves statement sessions on the servers of the directory. It has no I/O, threads or clock of its
 * own; the host makes all calls on one thread.
 */
public final class SessionEngine {
    private final SessionHost host;
    private final String zone;
    private final DecisionLog log;
    private final PreparedNames names = new PreparedNames();
    private final Map<String, ServerGroup> groups = new LinkedHashMap<>();
    private final Set<CallerSession> sessions = new LinkedHashSet<>();
    private final Set<CallerSession> greeting = new LinkedHashSet<>();
    private DirectoryView view = DirectoryView.EMPTY;
    private Map<String, Route> routes = Map.of();
    private boolean stopping;
    private boolean isolated;
    private boolean closingIdle;

    /**
     * Creates an engine without routes.
     *
     * @param zone failure domain of the proxy
     */
    public SessionEngine(SessionHost host, String zone, DecisionLog log) {
        this.host = host;
        this.zone = zone;
        this.log = log;
    }

    /**
     * What a proxy saw of the primary of a group.
     *
     * @param silentNanos time since the first question that it has not answered; 0 if it answers
     * @param refused whether it denies to lead or refuses connections
     */
    public record PrimaryObservation(
            String group, String server, long silentNanos, boolean refused) {}

    /** Starts a caller's session. */
    public CallerSession accept(SessionHost.CallerLink link) {
        CallerSession session = new CallerSession(this, link);
        sessions.add(session);
        return session;
    }

    /** Puts a view in force; parts with a lower revision than the present one are ignored. */
    public void update(DirectoryView offered) {
        boolean newRoutes = offered.routesRevision() > view.routesRevision();
        boolean newServers = offered.serversRevision() > view.serversRevision();
        boolean otherShare = offered.proxies() != view.proxies();
        if (!newRoutes && !newServers && !otherShare) {
            return;
        }
        view =
                new DirectoryView(
                        newRoutes ? offered.routes() : view.routes(),
                        newRoutes ? offered.routesRevision() : view.routesRevision(),
                        newServers ? offered.servers() : view.servers(),
                        newServers ? offered.serversRevision() : view.serversRevision(),
                        offered.proxies());
        if (newRoutes) {
            routes = view.routes().byDatabase();
        }
        updateGroups();
        log.directoryApplied(
                view.routes().version(), view.routesRevision(), view.serversRevision());
        for (CallerSession session : List.copyOf(greeting)) {
            greeting.remove(session);
            session.greet();
        }
    }

    private void updateGroups() {
        for (GroupLimits limits : view.routes().groups()) {
            groups.computeIfAbsent(limits.name(), n -> new ServerGroup(n, host, zone, log));
        }
        for (ServerGroup group : List.copyOf(groups.values())) {
            Option<GroupLimits> limits = view.routes().group(group.name());
            if (limits.isEmpty()) {
                continue;
            }
            List<ServerRecord> servers =
                    view.servers().stream().filter(s -> s.group().equals(group.name())).toList();
            group.update(
                    servers, ConnectionShare.of(limits.get().maxConnections(), view.proxies()));
        }
    }

    /** Does periodic work; to be called every {@link #tickNanos}. */
    public void tick() {
        groups.values().forEach(ServerGroup::tick);
    }

    /** Returns the interval of {@link #tick}, in nanoseconds. */
    public static long tickNanos() {
        return SessionSettings.TICK;
    }

    /** Returns what is known of the primaries, as evidence for the control group. */
    public List<PrimaryObservation> observations() {
        List<PrimaryObservation> found = new ArrayList<>();
        for (ServerGroup group : groups.values()) {
            Server server = group.leader().server();
            if (server != null) {
                found.add(
                        new PrimaryObservation(
                                group.name(),
                                server.record().id(),
                                group.leader().silentNanos(),
                                group.leader().denying() || server.refusing()));
            }
        }
        return found;
    }

    /**
     * Returns whether callers can be served: routes and servers are known, and the proxy is not cut
     * off from most of what it needs.
     */
    public boolean ready() {
        return !stopping && hasRoutes() && !view.servers().isEmpty() && !isolated;
    }

    /**
     * Takes whether the directory answers. A proxy without the directory and without the leaders of
     * most groups stands behind a cut; callers are better served elsewhere. Without the directory
     * alone it goes on, since what it knows still serves.
     */
    public void directoryAnswers(boolean answers) {
        int silent = 0;
        for (ServerGroup group : groups.values()) {
            if (group.leader().silentNanos() >= SessionSettings.LEADER_LOST) {
                silent++;
            }
        }
        boolean cut = !answers && silent * 2 > groups.size();
        if (cut != isolated) {
            isolated = cut;
            log.isolationChanged(cut, silent, groups.size());
        }
        if (isolated) {
            // Callers that connect again reach another proxy.
            List.copyOf(sessions).forEach(CallerSession::closeIfIdle);
        }
    }

    /** Returns the view in force. */
    public DirectoryView view() {
        return view;
    }

    /** Returns the number of sessions. */
    public int sessionCount() {
        return sessions.size();
    }

    /** Returns the number of statements that wait for a connection. */
    public int waitingCount() {
        return groups.values().stream().mapToInt(ServerGroup::waitingCount).sum();
    }

    /** Begins a planned stop: sessions go on until {@link #closeIdleSessions}. */
    public void stop() {
        stopping = true;
    }

    /** Closes sessions as soon as nothing of theirs is in progress. */
    public void closeIdleSessions() {
        closingIdle = true;
        for (CallerSession session : List.copyOf(sessions)) {
            session.closeIfIdle();
        }
    }

    /** Aborts open transactions whose callers are not waiting for an answer. */
    public void abortIdleTransactions() {
        for (CallerSession session : List.copyOf(sessions)) {
            session.abortIdleTransaction("the process stops");
        }
    }

    SessionHost host() {
        return host;
    }

    DecisionLog log() {
        return log;
    }

    PreparedNames names() {
        return names;
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

    boolean stopping() {
        return stopping;
    }

    long idleTransactionMillis() {
        return view.routes().idleTransactionMillis();
    }

    /** Greets a session, at once or when the first routes arrive. */
    void awaitRoutes(CallerSession session) {
        if (hasRoutes()) {
            session.greet();
            return;
        }
        greeting.add(session);
        host.schedule(
                host.now() + SessionSettings.GREETING_WAIT,
                () -> {
                    if (greeting.remove(session)) {
                        session.greet();
                    }
                });
    }

    void sessionIdle(CallerSession session) {
        if (closingIdle) {
            session.closeIfIdle();
        }
    }

    void ended(CallerSession session) {
        sessions.remove(session);
        greeting.remove(session);
    }
}
