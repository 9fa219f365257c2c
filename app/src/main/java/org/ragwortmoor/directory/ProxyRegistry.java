package org.ragwortmoor.directory;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.ragwortmoor.coordination.directory.PrimaryLeaseTable;
import org.ragwortmoor.coordination.workspace.ReportConfirmation;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NeighbourMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.FleetSize;
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

    private static final int RELAYS_PER_DOMAIN = 2;
    private static final long HASH_FACTOR = 0x100000001b3L;

    private final PrimaryLeaseTable leases;
    private final Supplier<Option<Long>> quorumContact;
    private final UpdateContents contents = new UpdateContents();
    private final Map<String, ProxyEntry> proxies = new HashMap<>();
    private final Map<String, ProxyEntry> earlyReports = new HashMap<>();
    private long electedAt;
    private long decreaseSince;
    private long pushedRoutesRevision;
    private long pushedServersRevision;
    private Option<Long> pushAt = Option.none();

    /** Time after its last report for which a proxy may hold connections for others. */
    private static final long NEIGHBOUR_EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

    /** Time after an election before proxies are told of missing neighbours. */
    private static final long NEIGHBOUR_SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_700);

    /**
     * Time after an election before a proxy without neighbours is told of any, unless most proxies
     * have reported before.
     */
    private static final long FIRST_NEIGHBOURS_SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Fraction of the recorded fleet that must have reported to count as most proxies. */
    private static final double MOST_PROXIES = 0.9;

    /** Time for which changes are collected before they are pushed to the proxies. */
    private static final long PUSH_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private static final class ProxyEntry {
        final ReportConfirmation confirmation = new ReportConfirmation();
        NodeReportMessage report;
        PeerListener.Reply reply;
        String domain = "";
        String address = "";
        List<String> membersSent = List.of();
        long routesRevision;
        long serversRevision;
        long reportedAt;
    }

    /**
     * Creates a registry without proxies.
     *
     * @param quorumContact see {@link DirectoryLog#quorumContactAt}
     */
    ProxyRegistry(PrimaryLeaseTable leases, Supplier<Option<Long>> quorumContact) {
        this.leases = leases;
        this.quorumContact = quorumContact;
    }

    /** Restarts counting after an election and answers the proxies that reported early. */
    void elected(DirectoryState state, List<String> members, long now) {
        proxies.clear();
        electedAt = now;
        decreaseSince = now;
        List<ProxyEntry> early =
                earlyReports.values().stream()
                        .filter(entry -> now - entry.reportedAt <= EARLY_REPORT_EXPIRY_NANOS)
                        .toList();
        earlyReports.clear();
        early.forEach(entry -> store(proxies, entry.report, entry.reply, now));
        early.forEach(entry -> answerReport(entry.report, entry.reply, state, members, now));
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
        send(entry, current ? report.getId() : 0, state, members, now);
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
        entry.confirmation.recordArrival(report.getIncarnation(), report.getId(), now);
        if (!report.getForwardingAddress().isEmpty()) {
            entry.domain = report.getDomain();
            entry.address = report.getForwardingAddress();
        }
        return entry;
    }

    /**
     * Returns the size of the fleet if it reliably differs from the recorded one. A proxy that does
     * not report may only be partitioned, so a lower number is returned only once it has persisted.
     */
    Option<FleetSize> changedSize(FleetSize recorded, long now) {
        proxies.values().removeIf(p -> now - p.reportedAt > REPORT_EXPIRY_NANOS);
        int domains = (int) proxies.values().stream().map(p -> p.domain).distinct().count();
        FleetSize counted = new FleetSize(proxies.size(), domains);
        if (counted.proxies() >= recorded.proxies() && domains >= recorded.domains()) {
            decreaseSince = now;
        }
        boolean decreased = now - decreaseSince >= DECREASE_DELAY_NANOS && !proxies.isEmpty();
        if (decreased) {
            return Option.some(counted);
        }
        boolean increased = counted.proxies() > recorded.proxies() || domains > recorded.domains();
        return Option.when(
                increased && now - electedAt >= ELECTION_SETTLE_NANOS,
                () ->
                        new FleetSize(
                                Math.max(counted.proxies(), recorded.proxies()),
                                Math.max(domains, recorded.domains())));
    }

    /** Returns the addresses of the proxies in a failure domain that take new work, by name. */
    private SortedMap<String, String> neighbours(String domain, long now) {
        SortedMap<String, String> found = new TreeMap<>();
        proxies.forEach(
                (name, entry) -> {
                    boolean takesWork =
                            entry.domain.equals(domain)
                                    && !entry.report.getStopping()
                                    && now - entry.reportedAt <= NEIGHBOUR_EXPIRY_NANOS;
                    if (takesWork) {
                        found.put(name, entry.address);
                    }
                });
        return found;
    }

    /** Returns a hash of the neighbours that differs from 0. */
    private static long hash(SortedMap<String, String> neighbours) {
        long hash = 1;
        for (Map.Entry<String, String> neighbour : neighbours.entrySet()) {
            hash = hash * HASH_FACTOR + neighbour.getKey().hashCode();
            hash = hash * HASH_FACTOR + neighbour.getValue().hashCode();
        }
        return hash == 0 ? 1 : hash;
    }

    /** Sends an update to every proxy, so that it learns which leases are withheld. */
    void announceWithheldLeases(DirectoryState state, List<String> members) {
        long now = System.nanoTime();
        proxies.values().forEach(entry -> send(entry, 0, state, members, now));
    }

    /**
     * Sends an update to every proxy that has not received the latest changes. Changes within a
     * short time share one update.
     */
    void pushUpdates(DirectoryState state, List<String> members, long now) {
        boolean changed =
                state.routesRevision() != pushedRoutesRevision
                        || state.serversRevision() != pushedServersRevision;
        if (!changed) {
            pushAt = Option.none();
            return;
        }
        if (pushAt.isEmpty()) {
            pushAt = Option.some(now + PUSH_DELAY_NANOS);
        }
        if (now - pushAt.get() < 0) {
            return;
        }
        pushAt = Option.none();
        pushedRoutesRevision = state.routesRevision();
        pushedServersRevision = state.serversRevision();
        for (ProxyEntry entry : proxies.values()) {
            if (entry.routesRevision < state.routesRevision()
                    || entry.serversRevision < state.serversRevision()) {
                send(entry, 0, state, members, now);
            }
        }
    }

    /** Follows the changes of the directory, also while another process leads. */
    void follow(DirectoryState state) {
        contents.setState(state);
    }

    private void send(
            ProxyEntry entry, long reportId, DirectoryState state, List<String> members, long now) {
        DirectoryUpdateMessage.Builder update =
                DirectoryUpdateMessage.newBuilder()
                        .setLeader(true)
                        .setProxies(state.fleet().proxies())
                        .setDomains(state.fleet().domains())
                        .setNeedsIdentity(entry.address.isEmpty())
                        .setReportId(reportId)
                        .setLeaseMillis((int) leases.durationMillis())
                        .addAllWithheldGroups(leases.withheld());
        if (!entry.membersSent.equals(members)) {
            update.addAllMembers(members);
            entry.membersSent = members;
        }
        if (state.routes().workspaces().isDefined()) {
            quorumContact
                    .get()
                    .map(entry.confirmation::newestConfirmed)
                    .forEach(update::setConfirmedReportId);
        }
        addNeighbours(entry, update, state.fleet(), now);
        if (entry.report.getRelayed()) {
            update.setDestination(entry.report.getProxy());
        }
        contents.setState(state);
        contents.addRoutes(update, entry.routesRevision);
        contents.addServers(update, entry.serversRevision);
        // If the update is lost, the next report of the proxy restores its actual revisions.
        entry.routesRevision = state.routesRevision();
        entry.serversRevision = state.serversRevision();
        entry.reply.send(toBody(DirectoryMessage.newBuilder().setUpdate(update).build()));
    }

    private void addNeighbours(
            ProxyEntry entry, DirectoryUpdateMessage.Builder update, FleetSize fleet, long now) {
        long known = entry.report.getNeighboursHash();
        boolean mostKnown = fleet.proxies() > 0 && proxies.size() >= fleet.proxies() * MOST_PROXIES;
        long settling = known == 0 ? FIRST_NEIGHBOURS_SETTLE_NANOS : NEIGHBOUR_SETTLE_NANOS;
        boolean settled = mostKnown || now - electedAt >= settling;
        if (entry.domain.isEmpty() || !settled) {
            return;
        }
        SortedMap<String, String> neighbours = neighbours(entry.domain, now);
        long hash = hash(neighbours);
        if (hash != known) {
            update.setNeighboursHash(hash)
                    .addAllNeighbours(toMessages(neighbours))
                    .addAllRelays(toMessages(relays(entry, now)));
        }
    }

    /**
     * Returns some proxies of each other failure domain, which may pass on reports. The selection
     * differs between proxies, so that no proxy passes on those of all.
     */
    private SortedMap<String, String> relays(ProxyEntry entry, long now) {
        SortedMap<String, String> found = new TreeMap<>();
        Set<String> domains = new TreeSet<>();
        proxies.values().forEach(p -> domains.add(p.domain));
        domains.remove(entry.domain);
        for (String domain : domains) {
            List<Map.Entry<String, String>> members =
                    List.copyOf(neighbours(domain, now).entrySet());
            int start = Math.floorMod(entry.report.getProxy().hashCode(), Integer.MAX_VALUE);
            for (int i = 0; i < Math.min(RELAYS_PER_DOMAIN, members.size()); i++) {
                Map.Entry<String, String> relay = members.get((start + i) % members.size());
                found.put(relay.getKey(), relay.getValue());
            }
        }
        return found;
    }

    private static List<NeighbourMessage> toMessages(SortedMap<String, String> addresses) {
        return addresses.entrySet().stream()
                .map(
                        a ->
                                NeighbourMessage.newBuilder()
                                        .setName(a.getKey())
                                        .setAddress(a.getValue())
                                        .build())
                .toList();
    }

    static PeerBody toBody(DirectoryMessage message) {
        return new PeerBody.Directory(ByteString.copyFrom(message.toByteArray()));
    }
}
