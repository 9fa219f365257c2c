package org.ragwortmoor.directory;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortmoor.transport.ForwardingClient;

/**
 * Exchanges reports and updates with the directory through other proxies, while this proxy does not
 * reach the directory itself, and does the same for others. Without it, a proxy behind a partition
 * from control would lose its leases on primaries that it reaches.
 */
final class RelayedReports {
    /** Interval between reports through other proxies. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Proxies that get the same report while none is known to reach the directory. */
    private static final int PROXIES_AT_ONCE = 4;

    /** Time without an update after which another proxy is tried. */
    private static final long ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

    /** Time for which updates are passed on to a proxy after its last report. */
    private static final long DESTINATION_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final ForwardingClient links;
    private final Map<String, Destination> destinations = new HashMap<>();
    private Map<String, String> candidates = Map.of();
    private String relay = "";
    private long relayAnsweredAt;
    private long sentAt;
    private int nextCandidate;

    private record Destination(Consumer<ByteString> reply, long reportedAt) {}

    RelayedReports(ForwardingClient links) {
        this.links = links;
        this.sentAt = System.nanoTime() - INTERVAL_NANOS;
    }

    /** Sets the addresses of the proxies that may pass on reports, by name. */
    void setCandidates(Map<String, String> newCandidates) {
        candidates = Map.copyOf(newCandidates);
    }

    /** Returns whether a report through other proxies is due. */
    boolean due(long now) {
        return now - sentAt >= INTERVAL_NANOS;
    }

    /** Sends a report to the proxy that passed on the last one, or else to several. */
    void send(ByteString report, long now) {
        sentAt = now;
        boolean known =
                candidates.containsKey(relay) && now - relayAnsweredAt < ANSWER_TIMEOUT_NANOS;
        List<String> names = new ArrayList<>(candidates.keySet());
        names.sort(String::compareTo);
        if (known) {
            links.sendReport(relay, candidates.get(relay), report);
            return;
        }
        for (int i = 0; i < Math.min(PROXIES_AT_ONCE, names.size()); i++) {
            String name = names.get(nextCandidate++ % names.size());
            links.sendReport(name, candidates.get(name), report);
        }
    }

    /** Records that a proxy has passed on an update. */
    void recordAnswer(String proxy, long now) {
        relay = proxy;
        relayAnsweredAt = now;
    }

    /** Returns whether an update came through another proxy lately. */
    boolean answered(long now) {
        return !relay.isEmpty() && now - relayAnsweredAt < ANSWER_TIMEOUT_NANOS;
    }

    /** Records how updates are sent back to a proxy whose report this one has passed on. */
    void setDestination(String proxy, Consumer<ByteString> reply, long now) {
        destinations.values().removeIf(d -> now - d.reportedAt() >= DESTINATION_EXPIRY_NANOS);
        destinations.put(proxy, new Destination(reply, now));
    }

    /** Passes on an update, or drops it if its destination has not reported lately. */
    void passOn(String proxy, ByteString update) {
        Destination destination = destinations.get(proxy);
        if (destination != null) {
            destination.reply().accept(update);
        }
    }
}
