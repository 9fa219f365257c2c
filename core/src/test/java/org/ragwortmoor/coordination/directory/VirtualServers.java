package org.ragwortmoor.coordination.directory;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.ragwortmoor.state.Position;

/**
 * The servers of one group in virtual time: a primary whose commits are acknowledged once enough
 * replicas have received them, replicas that can be suspended, and promotions that roll back what
 * the promoted server lacks.
 */
final class VirtualServers {
    /** A commit in a log, at the index {@code number - 1}. */
    record Entry(long term, long number, long id) {}

    /** A server, which keeps its log over a restart. */
    static final class Server {
        final String address;
        String id;
        long startedAt;
        final List<Entry> log = new ArrayList<>();
        boolean primary;
        long term = 1;
        long suspendedTerm;
        boolean up = true;
        boolean lostForGood;
        boolean draining;
        boolean deaf;
        boolean cutFromDirectory;
        boolean cutFromProxies;

        Server(String id, String address) {
            this.id = id;
            this.address = address;
        }

        Position received() {
            return log.isEmpty()
                    ? Position.ZERO
                    : new Position(
                            log.get(log.size() - 1).term(), log.get(log.size() - 1).number());
        }

        boolean holds(Entry entry) {
            return log.size() >= entry.number()
                    && log.get((int) entry.number() - 1).id() == entry.id();
        }

        /** Follows another log: what differs from it is rolled back. */
        void follow(List<Entry> other) {
            while (!log.isEmpty() && !sameAt(other, log.size() - 1)) {
                log.remove(log.size() - 1);
            }
        }

        private boolean sameAt(List<Entry> other, int at) {
            return other.size() > at && other.get(at).id() == log.get(at).id();
        }

        ServerStatus status() {
            return new ServerStatus(primary, term, received(), suspendedTerm);
        }

        void suspend(long aboveTerm) {
            long asked = Math.max(aboveTerm, term) + 1;
            if (!primary && asked > term) {
                suspendedTerm = asked;
            }
        }

        void stepDown() {
            primary = false;
        }

        void resume() {
            suspendedTerm = 0;
        }
    }

    private final LongSupplier clock;
    private final List<Server> servers = new ArrayList<>();
    private final List<Entry> unacknowledged = new ArrayList<>();
    private final Set<Long> acknowledged = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private Server lastPromoted;
    private int syncReplicas;
    private long nextEntry;
    private long nextIncarnation = 1;
    private long lastAcknowledgedAt;
    private int acknowledgements;

    VirtualServers(int count, int syncReplicas, LongSupplier clock) {
        this.clock = clock;
        this.syncReplicas = syncReplicas;
        for (int i = 1; i <= count; i++) {
            Server server = new Server("s" + i, "10.0.0." + i + ":1");
            server.startedAt = nextIncarnation++;
            servers.add(server);
        }
        lastPromoted = servers.get(0);
        lastPromoted.primary = true;
    }

    List<Server> all() {
        return servers;
    }

    Server byId(String id) {
        return servers.stream().filter(s -> s.id.equals(id)).findFirst().orElse(null);
    }

    /** Returns the primary that runs, or null. */
    Server primary() {
        return servers.stream().filter(s -> s.primary && s.up).findFirst().orElse(null);
    }

    int syncReplicas() {
        return syncReplicas;
    }

    /** Changes the number of synchronous replicas; only later acknowledgements depend on it. */
    void setSyncReplicas(int count) {
        syncReplicas = count;
        if (count == 0) {
            // Commits may be lost from now on, and are then no violation.
            acknowledged.clear();
        }
    }

    List<String> violations() {
        return violations;
    }

    long lastAcknowledgedAt() {
        return lastAcknowledgedAt;
    }

    int acknowledgements() {
        return acknowledgements;
    }

    /** Commits on the primary, if a proxy reaches it. */
    void write() {
        Server primary = primary();
        if (primary == null || primary.cutFromProxies) {
            return;
        }
        long number = primary.received().index() + 1;
        Entry entry = new Entry(primary.term, number, ++nextEntry);
        primary.log.add(entry);
        unacknowledged.add(entry);
        acknowledge();
    }

    /** Passes on the log of the primary to a replica, if it receives. */
    void replicateTo(Server replica) {
        Server primary = primary();
        boolean receives =
                primary != null
                        && replica != primary
                        && replica.up
                        && !replica.deaf
                        && replica.suspendedTerm <= primary.term;
        if (receives) {
            replica.follow(primary.log);
            replica.log.addAll(primary.log.subList(replica.log.size(), primary.log.size()));
            replica.term = primary.term;
            acknowledge();
        }
    }

    private void acknowledge() {
        Server primary = primary();
        if (primary == null) {
            return;
        }
        unacknowledged.removeIf(
                entry -> {
                    long holders =
                            servers.stream()
                                    .filter(s -> s != primary && s.up && s.holds(entry))
                                    .count();
                    boolean enough = primary.holds(entry) && holders >= syncReplicas;
                    if (enough) {
                        lastAcknowledgedAt = clock.getAsLong();
                        acknowledgements++;
                        if (syncReplicas > 0) {
                            acknowledged.add(entry.id());
                        }
                    }
                    return enough;
                });
    }

    /** Carries out a promotion; has no effect if the server does not run. */
    void promote(Server next, String why) {
        if (!next.up || next.primary) {
            return;
        }
        Set<Long> missing = new HashSet<>(acknowledged);
        next.log.forEach(entry -> missing.remove(entry.id()));
        if (!missing.isEmpty()) {
            violations.add(next.id + " lacks " + missing.size() + " acknowledged commits; " + why);
            acknowledged.removeAll(missing);
        }
        long term = servers.stream().mapToLong(s -> s.term).max().getAsLong() + 1;
        for (Server server : servers) {
            server.primary = false;
            if (server.up) {
                server.term = term;
                server.suspendedTerm = 0;
                server.follow(next.log);
            }
        }
        unacknowledged.clear();
        next.primary = true;
        lastPromoted = next;
    }

    void crash(Server server) {
        server.up = false;
        unacknowledged.removeIf(entry -> server.primary);
    }

    /** Starts a server again with its log; it leads if no other server was promoted. */
    void restart(Server server, boolean newId) {
        server.up = true;
        server.draining = false;
        server.suspendedTerm = 0;
        server.startedAt = ++nextIncarnation;
        if (newId) {
            server.id = "s" + nextIncarnation;
        }
        server.primary = leadsAfterRestart(server);
    }

    /** Returns whether no other server was promoted since this one. */
    boolean leadsAfterRestart(Server server) {
        return server == lastPromoted;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Server s : servers) {
            text.append(s.id)
                    .append(s.up ? "" : " down")
                    .append(s.primary ? " primary" : "")
                    .append(s.draining ? " draining" : "")
                    .append(s.deaf ? " deaf" : "")
                    .append(" term ")
                    .append(s.term)
                    .append(" at ")
                    .append(s.received())
                    .append(" suspended ")
                    .append(s.suspendedTerm)
                    .append("; ");
        }
        return text.toString();
    }
}
