package org.ragwortmoor.directory;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.transport.PeerListener;

/** The proxies that report to this process, and the updates that they are sent. */
final class ProxyRegistry {
    /** Time after its last report for which a proxy counts, in nanoseconds. */
    private static final long LIFE = TimeUnit.SECONDS.toNanos(10);

    /** Time after an election in which the proxies are still arriving, in nanoseconds. */
    private static final long COUNTING = TimeUnit.SECONDS.toNanos(3);

    /** Time for which fewer proxies have to report before they are counted, in nanoseconds. */
    private static final long FEWER = TimeUnit.SECONDS.toNanos(30);

    /** Time for which a report to a process that does not lead yet is worth an answer. */
    private static final long WAITING = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Known> proxies = new HashMap<>();
    private final Map<String, Known> waiting = new HashMap<>();
    private long countingSince;
    private long fewerSince;

    private static final class Known {
        PeerListener.Reply reply;
        long routesRevision;
        long serversRevision;
        long reportedAt;
    }

    /** Starts to count the proxies anew, and tells those that wait for a leader. */
    void elected(DirectoryState state, List<String> members, long now) {
        proxies.clear();
        countingSince = now;
        fewerSince = now;
        waiting.values().removeIf(known -> now - known.reportedAt > WAITING);
        proxies.putAll(waiting);
        waiting.clear();
        proxies.values().forEach(known -> send(known, state, members));
    }

    /** Notes the report of a proxy to this process, which leads. */
    void reported(NodeReportMessage report, PeerListener.Reply reply, long now) {
        note(proxies, report, reply, now);
    }

    /** Notes a report that this process cannot answer yet; it may be elected in a moment. */
    void reportedEarly(NodeReportMessage report, PeerListener.Reply reply, long now) {
        note(waiting, report, reply, now);
    }

    private static void note(
            Map<String, Known> reports,
            NodeReportMessage report,
            PeerListener.Reply reply,
            long now) {
        Known known = reports.computeIfAbsent(report.getProxy(), name -> new Known());
        known.reply = reply;
        known.routesRevision = report.getRoutesRevision();
        known.serversRevision = report.getServersRevision();
        known.reportedAt = now;
    }

    /**
     * Returns the number of proxies if it is certain to differ from the known one. A proxy that
     * reports is there; one that does not may only be cut off, so a lower number has to last.
     */
    Option<Integer> changedCount(int known, long now) {
        proxies.values().removeIf(p -> now - p.reportedAt > LIFE);
        if (proxies.size() >= known) {
            fewerSince = now;
        }
        boolean fewer = now - fewerSince >= FEWER && !proxies.isEmpty();
        boolean more = proxies.size() > known && now - countingSince >= COUNTING;
        return Option.when(more || fewer, proxies::size);
    }

    /** Sends one proxy what it lacks. */
    void answer(String proxy, DirectoryState state, List<String> members) {
        Known known = proxies.get(proxy);
        if (known != null) {
            send(known, state, members);
        }
    }

    /** Sends all proxies that lack something what they lack. */
    void push(DirectoryState state, List<String> members) {
        for (Known known : proxies.values()) {
            if (known.routesRevision < state.routesRevision()
                    || known.serversRevision < state.serversRevision()) {
                send(known, state, members);
            }
        }
    }

    private void send(Known known, DirectoryState state, List<String> members) {
        DirectoryUpdateMessage.Builder update =
                DirectoryUpdateMessage.newBuilder()
                        .setLeader(true)
                        .addAllMembers(members)
                        .setProxies(state.proxies())
                        .setRoutesRevision(state.routesRevision())
                        .setServersRevision(state.serversRevision());
        if (known.routesRevision < state.routesRevision()) {
            update.setRoutes(DirectoryCodec.encode(state.routes(), false));
        }
        if (known.serversRevision < state.serversRevision()) {
            update.setHasServers(true);
            for (ServerRecord server : state.servers().values()) {
                if (server.state() != ServerState.GONE) {
                    boolean primary =
                            state.primary(server.group()).exists(p -> p.id().equals(server.id()));
                    update.addServers(DirectoryCodec.encode(server.withPrimary(primary)));
                }
            }
        }
        // An update may be lost; the next report of the proxy then shows what it still lacks.
        known.routesRevision = state.routesRevision();
        known.serversRevision = state.serversRevision();
        known.reply.send(body(DirectoryMessage.newBuilder().setUpdate(update).build()));
    }

    static PeerBody body(DirectoryMessage message) {
        return new PeerBody.Directory(ByteString.copyFrom(message.toByteArray()));
    }
}
