package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.Map;
import org.ragwortmoor.state.Position;

/**
 * Knows which server leads a group, and how long ago that was proved.
 *
 * <p>The directory names the leader. Only a server that accepts a plain transaction or a write is
 * proved to lead, so a wrong name costs time but never a wrong answer. When the named server denies
 * it for a while, the others are asked.
 */
final class LeaderTracker {
    private final ServerGroup group;
    private final SessionHost host;
    private final DecisionLog log;
    private String current = "";
    private String announced = "";
    private long term;
    private long provedAt;
    private long deniedAt;
    private long deniedSince;
    private boolean denying;
    private Option<Long> unansweredSince = Option.none();
    private boolean probing;
    private int searchIndex;
    private long searchedAt;

    LeaderTracker(ServerGroup group, SessionHost host, DecisionLog log) {
        this.group = group;
        this.host = host;
        this.log = log;
        this.provedAt = host.now();
        this.deniedAt = host.now();
        this.searchedAt = host.now();
    }

    /** Takes the leader that the directory names. */
    void announced(Option<String> server) {
        String named = server.getOrElse("");
        if (!named.equals(announced)) {
            announced = named;
            if (!named.isEmpty()) {
                switchTo(named, "named by the directory");
            }
        }
    }

    /** Returns the server that is taken for the leader, or null. */
    Server server() {
        return group.servers().get(current);
    }

    /** Returns whether the server has just denied that it leads. */
    boolean denied() {
        return denying && host.now() - deniedAt < SessionSettings.DENIED_RETRY;
    }

    /** Returns whether the denial has not been followed by a proof. */
    boolean denying() {
        return denying;
    }

    /** Returns for how long the leader has been asked without a proof, in nanoseconds. */
    long silentNanos() {
        long now = host.now();
        return denying ? now - deniedSince : unansweredSince.map(at -> now - at).getOrElse(0L);
    }

    /** Notes the highest term in any answer. */
    void seenTerm(long seen) {
        term = Math.max(term, seen);
    }

    void proved(Server server, Option<Position> position, long askedAt) {
        if (!server.record().id().equals(current)) {
            if (position.exists(p -> p.term() >= term)) {
                switchTo(server.record().id(), "it accepted a transaction in term " + term);
            } else {
                return;
            }
        }
        if (askedAt - provedAt > 0) {
            provedAt = askedAt;
        }
        unansweredSince = Option.none();
        if (denying) {
            denying = false;
            log.leaderConfirmed(group.name(), current, term);
            group.dispatch();
        }
    }

    /** Notes that a server refused work because it does not lead. */
    void denied(Server server) {
        if (!server.record().id().equals(current)) {
            return;
        }
        long now = host.now();
        deniedAt = now;
        if (!denying) {
            denying = true;
            deniedSince = now;
            log.leaderDenied(group.name(), current, term);
        }
    }

    private void switchTo(String server, String reason) {
        log.leaderChanged(group.name(), current, server, reason);
        current = server;
        denying = false;
        unansweredSince = Option.none();
        provedAt = host.now();
        group.dispatch();
    }

    /** Proves the leader when no work has done so lately, and looks for another one if denied. */
    void tick() {
        long now = host.now();
        Server server = server();
        if (!probing && server != null && now - provedAt >= SessionSettings.PROBE_AGE) {
            probe(server);
        }
        if (unansweredSince.exists(at -> server != null && server.heardSince(at) && !probing)) {
            // Every connection is busy, but the server answers on them.
            unansweredSince = Option.none();
        }
        boolean search =
                (denying && now - deniedSince >= SessionSettings.DENIED_SEARCH) || server == null;
        if (search && now - searchedAt >= SessionSettings.SEARCH_INTERVAL) {
            searchedAt = now;
            search();
        }
    }

    private void search() {
        int count = group.servers().size();
        if (count == 0) {
            return;
        }
        searchIndex = (searchIndex + 1) % count;
        Server candidate = group.servers().values().stream().skip(searchIndex).findFirst().get();
        if (candidate != server()) {
            ask(candidate, () -> {});
        }
    }

    private void probe(Server server) {
        probing = true;
        if (unansweredSince.isEmpty()) {
            unansweredSince = Option.some(host.now());
        }
        ask(server, () -> probing = false);
    }

    /** Begins and rolls back a transaction, which needs no slot. */
    private void ask(Server server, Runnable done) {
        Option<ServerConnection> taken = server.take(Map.of());
        if (taken.isEmpty()) {
            if (server.opening() == 0 && server.mayOpen(group.share())) {
                server.open();
            }
            done.run();
            return;
        }
        ServerConnection connection = taken.get();
        long askedAt = host.now();
        long offset = group.clockOffset();
        connection.ask(
                ServerConnection.OWN_ID,
                "BEGIN",
                askedAt + SessionSettings.PROBE_TIMEOUT,
                result -> {
                    done.run();
                    answered(connection, result, askedAt, offset);
                });
    }

    private void answered(
            ServerConnection connection, ExchangeResult result, long askedAt, long offset) {
        if (result instanceof ExchangeResult.Completed completed) {
            if (completed.state().equals(ExchangeResult.IN_TRANSACTION)) {
                group.proved(connection.server(), completed.position(), askedAt, offset);
            }
            Rollback.thenRelease(connection, host);
        } else if (result instanceof ExchangeResult.Failed failed) {
            if (failed.code().equals("READONLY")) {
                denied(connection.server());
            }
            Rollback.releaseAfter(connection, failed.state(), host);
        }
    }
}
