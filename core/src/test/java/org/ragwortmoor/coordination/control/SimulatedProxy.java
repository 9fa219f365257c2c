package org.ragwortmoor.coordination.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.GroupView;

/** A proxy that pings endpoints, sends reports and applies updates. */
final class SimulatedProxy {
    final String name;
    final String domain;
    final Map<String, GroupView> groups = new TreeMap<>();
    final Map<EndpointKey, Long> lastAnswer = new HashMap<>();
    final Map<EndpointKey, Integer> wanted = new HashMap<>();
    final Map<EndpointKey, Integer> held = new HashMap<>();
    ProxyShares shares = new ProxyShares(1);
    ReportDeltaEncoder changes = new ReportDeltaEncoder();

    /** Receives each report, both with all observations and as encoded. */
    BiConsumer<ProxyReport, ReportDeltaEncoder.EncodedReports> reported = (all, forms) -> {};

    long incarnation = 1;
    long sequence;
    long rulesVersion;
    long preparedVersion;
    long rulesUntil = Long.MIN_VALUE;
    String rules = "";
    boolean alive = true;
    boolean paused;
    boolean partitioned;
    boolean stopping;

    SimulatedProxy(String name, String domain) {
        this.name = name;
        this.domain = domain;
    }

    /** Records an answer of an endpoint unless the proxy is stopped or paused. */
    void answerReceived(EndpointKey key, long now) {
        if (alive && !paused) {
            lastAnswer.put(key, now);
        }
    }

    /** Returns the next report as sent to the leader. */
    ProxyReport report(long now) {
        ProxyReport all = observed(now);
        ReportDeltaEncoder.EncodedReports forms = changes.next(all);
        reported.accept(all, forms);
        return forms.leader();
    }

    /** Returns the next report with all observations. */
    ProxyReport observed(long now) {
        sequence++;
        List<EndpointObservation> observations = new ArrayList<>();
        for (GroupView view : groups.values()) {
            for (EndpointInfo info : view.endpoints()) {
                EndpointKey key = new EndpointKey(view.group(), info.endpoint());
                long since = lastAnswer.computeIfAbsent(key, k -> now);
                int share = shares.connections(key, now);
                held.put(key, share);
                observations.add(
                        new EndpointObservation(
                                view.group(),
                                info.endpoint(),
                                (now - since) / 1_000_000,
                                share,
                                wanted.getOrDefault(key, 1),
                                0,
                                0,
                                0));
            }
        }
        return new ProxyReport(
                name,
                incarnation,
                domain,
                sequence,
                rulesVersion,
                preparedVersion,
                stopping,
                now,
                observations,
                shares.acknowledged());
    }

    void apply(ControlUpdate update) {
        if (!alive || paused) {
            return;
        }
        if (update.requestsComplete()) {
            changes.requestComplete();
            return;
        }
        if (!shares.apply(update, changes.isDelta(update.reportSequence()))) {
            return;
        }
        update.groups().forEach(g -> groups.put(g.group(), g));
        rulesUntil = update.reportSentAt() + update.rulesLeaseMillis() * 1_000_000;
        update.rules()
                .filter(r -> r.version() > rulesVersion)
                .forEach(
                        r -> {
                            rulesVersion = r.version();
                            rules = r.text();
                        });
        update.pending().forEach(p -> preparedVersion = Math.max(preparedVersion, p.version()));
    }

    void restart() {
        incarnation++;
        sequence = 0;
        shares = new ProxyShares(incarnation);
        changes = new ReportDeltaEncoder();
        groups.clear();
        lastAnswer.clear();
        held.clear();
        rulesVersion = 0;
        preparedVersion = 0;
        rulesUntil = Long.MIN_VALUE;
        alive = true;
    }
}
