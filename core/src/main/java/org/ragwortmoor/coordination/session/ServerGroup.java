package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.Route;

/** The servers of one group: who leads, what is fresh, and who gets the next connection. */
final class ServerGroup {
    private final String name;
    private final SessionHost host;
    private final DecisionLog log;
    private final ReadPlacement placement;
    private final LeaderTracker leader;
    private final FreshnessWindow freshness = new FreshnessWindow();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<LeaseRequest> waiting = new ArrayList<>();
    private ConnectionShare share = new ConnectionShare(1, 1, 1);
    private boolean dispatching;
    private boolean dispatchAgain;

    ServerGroup(String name, SessionHost host, String zone, DecisionLog log) {
        this.name = name;
        this.host = host;
        this.log = log;
        this.placement = new ReadPlacement(zone);
        this.leader = new LeaderTracker(this, host, log);
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

    Map<String, Server> servers() {
        return servers;
    }

    ConnectionShare share() {
        return share;
    }

    int waitingCount() {
        return waiting.size();
    }

    /** Takes the servers of the newest directory. */
    void update(List<ServerRecord> records, ConnectionShare connections) {
        share = connections;
        Map<String, ServerRecord> known = new HashMap<>();
        records.forEach(record -> known.put(record.id(), record));
        for (Server server : List.copyOf(servers.values())) {
            ServerRecord record = known.get(server.record().id());
            boolean ended = record == null || record.state() == ServerState.GONE;
            if (ended || record.startedAtMillis() != server.record().startedAtMillis()) {
                servers.remove(server.record().id());
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
        leader.announced(primary.map(ServerRecord::id));
        dispatch();
    }

    /** Closes every connection, when no route leads to the group any more. */
    void close() {
        servers.values().forEach(server -> server.closeAll("no route leads to the group"));
        servers.clear();
    }

    /** Periodic work: warm connections, probes and expired waits. */
    void tick() {
        for (Server server : servers.values()) {
            int free = server.idleCount() + server.opening();
            if (server.takesReads()
                    && free < SessionSettings.WARM_CONNECTIONS
                    && server.mayOpen(share)) {
                server.open();
            }
            server.trim(share);
        }
        leader.tick();
        long now = host.now();
        for (LeaseRequest request : List.copyOf(waiting)) {
            if (now - request.deadline() >= 0 && waiting.remove(request)) {
                request.outcome().expired();
            }
        }
        dispatch();
    }

    /** Returns the position that a read must see, if enough is known. */
    Option<Position> required(long since) {
        return freshness.required(since, clockOffset());
    }

    /** Notes an answer that only the leader gives. */
    void proved(Server server, Option<Position> position, long askedAt, long offsetWhenAsked) {
        leader.proved(server, position, askedAt);
        position.forEach(p -> freshness.add(p, askedAt, offsetWhenAsked, host.now()));
    }

    /** Returns the time of day less the monotonic clock, in milliseconds. */
    long clockOffset() {
        return host.wallMillis() - host.now() / 1_000_000;
    }

    void seen(Option<Position> position) {
        position.forEach(p -> leader.seenTerm(p.term()));
    }

    /**
     * Returns until when a statement may wait for a connection. While the group has had no leader
     * for longer than a promotion takes, waiting helps no one: the caller is told to come back.
     */
    long patience(LeaseRequest.Need need, Route route, long waitDeadline) {
        boolean outage =
                need == LeaseRequest.Need.LEADER
                        && leader.silentNanos() >= SessionSettings.LONG_OUTAGE;
        long target = TimeUnit.MILLISECONDS.toNanos(route.targetMillis());
        long soon = host.now() + target / SessionSettings.OUTAGE_PATIENCE;
        return outage && soon - waitDeadline < 0 ? soon : waitDeadline;
    }

    /** Asks for a connection; the outcome may come before this returns. */
    void request(LeaseRequest request) {
        int at = waiting.size();
        while (at > 0 && waiting.get(at - 1).priority() > request.priority()) {
            at--;
        }
        waiting.add(at, request);
        dispatch();
    }

    /** Gives up a wait. */
    void cancel(LeaseRequest request) {
        waiting.remove(request);
    }

    /** Grants what can be granted, in the order of priority and arrival. */
    void dispatch() {
        if (dispatching) {
            dispatchAgain = true;
            return;
        }
        dispatching = true;
        do {
            dispatchAgain = false;
            dispatchOnce();
        } while (dispatchAgain);
        dispatching = false;
    }

    private void dispatchOnce() {
        Map<Server, Integer> claimed = new HashMap<>();
        for (LeaseRequest request : List.copyOf(waiting)) {
            Server server = serverFor(request);
            if (server == null) {
                if (request.need() == LeaseRequest.Need.ANY
                        && !anyLeft(request)
                        && waiting.remove(request)) {
                    request.outcome().exhausted();
                }
                continue;
            }
            if (server.idleCount() > 0 && waiting.remove(request)) {
                server.take(request.values()).forEach(request.outcome()::granted);
                continue;
            }
            int openings = claimed.merge(server, 1, Integer::sum);
            if (openings > server.opening() && server.mayOpen(share)) {
                server.open();
            }
        }
    }

    private Server serverFor(LeaseRequest request) {
        Server current = leader.server();
        if (request.need() == LeaseRequest.Need.LEADER) {
            boolean usable = current != null && current.takesLeaderWork() && !leader.denied();
            return usable ? current : null;
        }
        return placement.choose(servers.values(), request, current, share);
    }

    /** Returns whether waiting can help a read. */
    private boolean anyLeft(LeaseRequest request) {
        for (Server server : servers.values()) {
            boolean left = !request.excluded().contains(server.record().id());
            if (left && server.takesReads() && !server.silent() && !server.refusing()) {
                return true;
            }
        }
        return false;
    }
}
