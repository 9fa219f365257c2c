package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortmoor.coordination.control.ControlUpdate.RulesText;

/**
 * Brings accepted rules to the proxies and decides when a version is in force everywhere.
 *
 * <p>A proxy whose rules lease has ended holds all scoped records back. So a version is in force
 * once every proxy either reported it or cannot have a lease any more. Wider scopes are unknown to
 * a proxy that missed them; therefore every member prepares them before they are accepted.
 */
final class RuleActivation {
    /** Bounds how long a cut-off proxy delays a version; in force is targeted within 3 s. */
    static final long LEASE_NANOS = 2_000_000_000L;

    private final ReportTable reports;
    private final Map<String, Long> leasedUntil = new HashMap<>();
    private long unknownLeasesUntil;
    private long proposed;
    private long proposedAt;

    RuleActivation(ReportTable reports) {
        this.reports = reports;
    }

    /** Leases of an earlier leader may last one lease longer. */
    void becameLeader(long now) {
        leasedUntil.clear();
        proposed = 0;
        unknownLeasesUntil = now + LEASE_NANOS;
    }

    /**
     * Returns the rules lease for a report in milliseconds.
     *
     * <p>A proxy that is not a member yet gets none: wider scopes do not wait for it. After a
     * restore no proxy gets one until an operator has applied a file, so that all scoped records
     * are held back: a file that was accepted after the backup is not known here.
     */
    long lease(ProxyReport report, ControlState state, long now) {
        if (!state.members().containsKey(report.proxy()) || state.rules().awaitsConfirmation()) {
            return 0;
        }
        leasedUntil.put(report.proxy(), now + LEASE_NANOS);
        return LEASE_NANOS / 1_000_000;
    }

    Option<RulesText> rulesFor(ProxyReport report, ControlState state) {
        return state.rules()
                .current()
                .filter(e -> e.version() > report.rulesVersion() && !e.restored())
                .map(RuleActivation::text);
    }

    Option<RulesText> pendingFor(ProxyReport report, ControlState state) {
        return state.rules()
                .pending()
                .filter(e -> e.version() > report.preparedVersion())
                .map(RuleActivation::text);
    }

    /** Returns the members that have not prepared the pending rules. */
    List<String> waitingFor(ControlState state) {
        List<String> waiting = new ArrayList<>();
        state.rules()
                .pending()
                .forEach(
                        pending ->
                                state.members()
                                        .keySet()
                                        .filter(p -> !prepared(p, pending.version()))
                                        .forEach(waiting::add));
        return waiting;
    }

    /** Returns the proxies that may work under rules older than {@code version}. */
    List<String> notInForceOn(ControlState state, long version, long now) {
        Set<String> candidates = new TreeSet<>(leasedUntil.keySet());
        state.members().keySet().forEach(candidates::add);
        candidates.removeIf(
                proxy ->
                        applied(proxy, version)
                                || now >= leasedUntil.getOrDefault(proxy, unknownLeasesUntil));
        return List.copyOf(candidates);
    }

    boolean inForce(ControlState state, long version, long now) {
        return now >= unknownLeasesUntil && notInForceOn(state, version, now).isEmpty();
    }

    void step(ControlState state, Outbox out, long wallMillis, long now) {
        state.rules()
                .pending()
                .filter(pending -> waitingFor(state).isEmpty())
                .forEach(
                        pending ->
                                out.propose(
                                        new ControlCommand.ActivateRules(
                                                pending.version(),
                                                state.members().keySet().toJavaList()),
                                        now));
        long version = state.rules().version();
        if (version > state.rules().inForce()
                && !state.rules().awaitsConfirmation()
                && !(proposed == version && now - proposedAt < Outbox.REPROPOSE_NANOS)
                && inForce(state, version, now)) {
            proposed = version;
            proposedAt = now;
            out.propose(new ControlCommand.RulesInForce(version, wallMillis), now);
        }
        leasedUntil
                .entrySet()
                .removeIf(e -> now >= e.getValue() && !state.members().containsKey(e.getKey()));
    }

    private boolean prepared(String proxy, long version) {
        return reports.reporter(proxy)
                .exists(
                        r ->
                                r.report().preparedVersion() >= version
                                        || r.report().rulesVersion() >= version);
    }

    private boolean applied(String proxy, long version) {
        return reports.reporter(proxy).exists(r -> r.report().rulesVersion() >= version);
    }

    private static RulesText text(RuleHistory.Entry entry) {
        return new RulesText(entry.version(), entry.text().getOrElse(""));
    }
}
