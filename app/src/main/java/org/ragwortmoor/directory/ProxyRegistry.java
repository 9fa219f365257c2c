package org.ragwortmoor.directory;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.directory.PrimaryLeaseTable;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.transport.PeerListener;

/**
 * Tracks the proxies that report to this process, and sends them updates and leases on primaries.
 */
final class ProxyRegistry {
    /** Time after its last report for which a proxy is counted. */
    private static final long REPORT_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time after an election before the count may rise; the proxies are still reconnecting. */
    private static final long ELECTION_SETTLE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Time for which fewer proxies must report before the count is reduced. */
    private static final long DECREASE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Maximum age of a report that is answered if this process is elected. */
    private static final long EARLY_REPORT_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final PrimaryLeaseTable leases;
    private final Map<String, ProxyEntry> proxies = new HashMap<>();
    private final Map<String, ProxyEntry> earlyReports = new HashMap<>();
    private long electedAt;
    private long decreaseSince;

    private static final class ProxyEntry {
        NodeReportMessage report;
        PeerListener.Reply reply;
        long routesRevision;
        long serversRevision;
        long reportedAt;
    }

    ProxyRegistry(PrimaryLeaseTable leases) {
        this.leases = leases;
    }

    /** Restarts counting after an election and answers the proxies that reported early. */
    void elected(DirectoryState state, List<String> members, long now) {
        proxies.clear();
        electedAt = now;
        decreaseSince = now;
        List<ProxyEntry> early = List.copyOf(earlyReports.values());
        earlyReports.clear();
        for (ProxyEntry entry : early) {
            if (now - entry.reportedAt <= EARLY_REPORT_EXPIRY_NANOS) {
                answerReport(entry.report, entry.reply, state, members, now);
            }
        }
    }

    /**
     * Answers a report that this process received as leader: with the changes that the proxy lacks,
     * and with leases on the primaries that it requested.
     */
    void answerReport(
            NodeReportMessage report,
            PeerListener.Reply reply,
            DirectoryState state,
            List<String> members,
            long now) {
        ProxyEntry entry = store(proxies, report, reply, now);
        boolean current =
                leases.recordReport(
                        report.getProxy(),
                        report.getIncarnation(),
                        report.getId(),
                        leaseStatements(report, state),
                        now);
        send(entry, current ? report.getId() : 0, state, members);
    }

    private static List<PrimaryLeaseTable.LeaseStatement> leaseStatements(
            NodeReportMessage report, DirectoryState state) {
        return report.getPrimariesList().stream()
                .map(
                        o -> {
                            boolean primary =
                                    state.primary(o.getGroup())
                                            .exists(p -> p.id().equals(o.getServer()));
                            return new PrimaryLeaseTable.LeaseStatement(
                                    o.getGroup(), o.getHoldsLease(), o.getNeedsLease() && primary);
                        })
                .toList();
    }

    /** Records a report received before an election; it is answered if this process is elected. */
    void recordEarlyReport(NodeReportMessage report, PeerListener.Reply reply, long now) {
        store(earlyReports, report, reply, now);
    }

    private static ProxyEntry store(
            Map<String, ProxyEntry> reports,
            NodeReportMessage report,
            PeerListener.Reply reply,
            long now) {
        ProxyEntry entry = reports.computeIfAbsent(report.getProxy(), name -> new ProxyEntry());
        entry.report = report;
        entry.reply = reply;
        entry.routesRevision = report.getRoutesRevision();
        entry.serversRevision = report.getServersRevision();
        entry.reportedAt = now;
        return entry;
    }

    /**
     * Returns the number of proxies if it reliably differs from the recorded count. A proxy that
     * does not report may only be partitioned, so a lower number is returned only once it has
     * persisted.
     */
    Option<Integer> changedCount(int recordedCount, long now) {
        proxies.values().removeIf(p -> now - p.reportedAt > REPORT_EXPIRY_NANOS);
        if (proxies.size() >= recordedCount) {
            decreaseSince = now;
        }
        boolean decreased = now - decreaseSince >= DECREASE_DELAY_NANOS && !proxies.isEmpty();
        boolean increased =
                proxies.size() > recordedCount && now - electedAt >= ELECTION_SETTLE_NANOS;
        return Option.when(increased || decreased, proxies::size);
    }

    /** Sends an update to every proxy, so that it learns which leases are withheld. */
    void announceWithheldLeases(DirectoryState state, List<String> members) {
        proxies.values().forEach(entry -> send(entry, 0, state, members));
    }

    /** Sends an update to every proxy that has not received the latest changes. */
    void pushUpdates(DirectoryState state, List<String> members) {
        for (ProxyEntry entry : proxies.values()) {
            if (entry.routesRevision < state.routesRevision()
                    || entry.serversRevision < state.serversRevision()) {
                send(entry, 0, state, members);
            }
        }
    }

    private void send(ProxyEntry entry, long reportId, DirectoryState state, List<String> members) {
        DirectoryUpdateMessage.Builder update =
                DirectoryUpdateMessage.newBuilder()
                        .setLeader(true)
                        .addAllMembers(members)
                        .setProxies(state.proxies())
                        .setRoutesRevision(state.routesRevision())
                        .setServersRevision(state.serversRevision())
                        .setReportId(reportId)
                        .setLeaseMillis((int) leases.durationMillis())
                        .addAllWithheldGroups(leases.withheld());
        if (entry.routesRevision < state.routesRevision()) {
            update.setRoutes(DirectoryCodec.encode(state.routes(), false));
        }
        if (entry.serversRevision < state.serversRevision()) {
            update.setHasServers(true);
            for (ServerRecord server : state.servers().values()) {
                if (server.state() != ServerState.GONE) {
                    boolean primary =
                            state.primary(server.group()).exists(p -> p.id().equals(server.id()));
                    update.addServers(DirectoryCodec.encode(server.withPrimary(primary)));
                }
            }
        }
        // If the update is lost, the next report of the proxy restores its actual revisions.
        entry.routesRevision = state.routesRevision();
        entry.serversRevision = state.serversRevision();
        entry.reply.send(toBody(DirectoryMessage.newBuilder().setUpdate(update).build()));
    }

    static PeerBody toBody(DirectoryMessage message) {
        return new PeerBody.Directory(ByteString.copyFrom(message.toByteArray()));
    }
}
