package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import org.ragwortmoor.state.Position;

/**
 * Tracks the leader of a group and the time of its last proof of leadership.
 *
 * <p>The directory names the leader. Leadership is proved only by accepting a read-write
 * transaction or a write, so an outdated name causes delays but never wrong answers. If the named
 * server keeps denying its leadership, the other servers are probed. Where a replaced leader is not
 * deposed, only the server named by the directory is used, see {@link PrimaryLease}.
 */
final class LeaderTracker {
    private static final int DIFFERENT_PROBES = 3;

    private final ServerGroup group;
    private final SessionHost host;
    private final DecisionLog log;
    private String current = "";
    private String directoryLeader = "";
    private long highestTerm;
    private long lastProofAt;
    private long lastDeniedAt;
    private long deniedSince;
    private boolean denied;
    private boolean confirmed;
    private Option<Long> unansweredSince = Option.none();
    private boolean probeInFlight;
    private int probes;
    private int searchIndex;
    private long lastSearchAt;

    LeaderTracker(ServerGroup group, SessionHost host, DecisionLog log) {
        this.group = group;
        this.host = host;
        this.log = log;
        this.lastProofAt = host.now();
        this.lastDeniedAt = host.now();
        this.lastSearchAt = host.now();
    }

    /** Sets the leader that the directory names. */
    void setDirectoryLeader(Option<String> server) {
        String newLeader = server.getOrElse("");
        if (!newLeader.equals(directoryLeader)) {
            directoryLeader = newLeader;
            if (!newLeader.isEmpty()) {
                switchTo(newLeader, "named by the directory");
            }
        }
    }

    /** Returns whether the directory names the server as leader. */
    boolean isDirectoryLeader(String server) {
        return !server.isEmpty() && server.equals(directoryLeader) && server.equals(current);
    }

    /** Returns the server that is considered the leader, or null. */
    Server server() {
        return group.servers().get(current);
    }

    /** Returns whether the leader denied its leadership too recently to be asked again. */
    boolean recentlyDenied() {
        return denied && host.now() - lastDeniedAt < SessionSettings.DENIED_RETRY_NANOS;
    }

    /** Returns whether the leader denied its leadership and has not proved it since. */
    boolean hasDenied() {
        return denied;
    }

    /**
     * Returns whether the leader answers and has not lost its leadership. A server that the
     * directory has just named may still deny it until its promotion is carried out.
     */
    boolean mayLead() {
        boolean silent = nanosWithoutProof() >= SessionSettings.LEASE_SILENCE_NANOS;
        return confirmed ? !denied && !silent : denied || !silent;
    }

    /** Returns the time since the leader was first asked without giving a proof, or 0. */
    long nanosWithoutProof() {
        long now = host.now();
        return denied ? now - deniedSince : unansweredSince.map(at -> now - at).getOrElse(0L);
    }

    /** Records a term seen in an answer. */
    void observeTerm(long observed) {
        highestTerm = Math.max(highestTerm, observed);
    }

    void recordProof(Server server, Option<Position> position, long requestedAt) {
        if (!server.record().id().equals(current)) {
            if (!group.lease().required() && position.exists(p -> p.term() >= highestTerm)) {
                switchTo(server.record().id(), "it accepted a transaction in term " + highestTerm);
            } else {
                return;
            }
        }
        if (requestedAt - lastProofAt > 0) {
            lastProofAt = requestedAt;
        }
        unansweredSince = Option.none();
        confirmed = true;
        if (denied) {
            denied = false;
            log.leaderConfirmed(group.name(), current, highestTerm);
            group.dispatch();
        }
    }

    /** Records that a server rejected work because it is not the leader. */
    void recordDenial(Server server) {
        if (!server.record().id().equals(current)) {
            return;
        }
        long now = host.now();
        lastDeniedAt = now;
        if (!denied) {
            denied = true;
            deniedSince = now;
            log.leaderDenied(group.name(), current, highestTerm);
        }
    }

    private void switchTo(String server, String reason) {
        log.leaderChanged(group.name(), current, server, reason);
        current = server;
        denied = false;
        confirmed = false;
        unansweredSince = Option.none();
        lastProofAt = host.now();
        group.dispatch();
    }

    /** Probes a leader without a recent proof, and searches for another leader if it denies. */
    void tick() {
        long now = host.now();
        Server server = server();
        if (!probeInFlight
                && server != null
                && now - lastProofAt >= SessionSettings.PROBE_INTERVAL_NANOS) {
            probe(server);
        }
        if (unansweredSince.exists(
                at -> server != null && server.receivedSince(at) && !probeInFlight)) {
            // All connections are in use, but the server answers on them.
            unansweredSince = Option.none();
        }
        boolean search =
                (denied && now - deniedSince >= SessionSettings.LEADER_SEARCH_DELAY_NANOS)
                        || server == null;
        if (!group.lease().required()
                && search
                && now - lastSearchAt >= SessionSettings.LEADER_SEARCH_INTERVAL_NANOS) {
            lastSearchAt = now;
            searchLeader();
        }
    }

    private void searchLeader() {
        int count = group.servers().size();
        if (count == 0) {
            return;
        }
        searchIndex = (searchIndex + 1) % count;
        Server candidate = group.servers().values().stream().skip(searchIndex).findFirst().get();
        if (candidate != server()) {
            sendProbe(candidate, () -> {});
        }
    }

    private void probe(Server server) {
        probeInFlight = true;
        if (unansweredSince.isEmpty()) {
            unansweredSince = Option.some(host.now());
        }
        sendProbe(server, () -> probeInFlight = false);
    }

    /** Probes a server by beginning and rolling back a transaction, which needs no slot. */
    private void sendProbe(Server server, Runnable done) {
        Option<ServerConnection> idle = server.acquireForProbe();
        if (idle.isEmpty()) {
            if (server.opening() == 0 && server.canOpen(group.share())) {
                server.open("", OpeningCause.PROBE);
            }
            done.run();
            return;
        }
        ServerConnection connection = idle.get();
        BeginProof proof = new BeginProof(group, connection, host);
        long deadline = host.now() + SessionSettings.PROBE_TIMEOUT_NANOS;
        // Successive probes have different lengths, so that an earlier one is not taken for this.
        for (int i = 0; i < probes % DIFFERENT_PROBES; i++) {
            connection.executeOwn(ErrorConfirmation.STATEMENT, deadline, ignored -> {});
        }
        probes++;
        connection.executeOwn(
                "BEGIN",
                deadline,
                result -> {
                    done.run();
                    handleProbeResult(connection, proof, result);
                });
        ConnectionCleanup.rollbackAndReleaseAfter(connection, deadline, proof::confirm);
    }

    private void handleProbeResult(
            ServerConnection connection, BeginProof proof, ExchangeResult result) {
        if (result instanceof ExchangeResult.Completed completed) {
            proof.begun(completed);
        } else if (result instanceof ExchangeResult.Failed failed
                && failed.code().equals("READONLY")) {
            recordDenial(connection.server());
        }
    }
}
