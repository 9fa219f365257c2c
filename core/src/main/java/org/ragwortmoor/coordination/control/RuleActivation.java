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
 * Distributes accepted rules to the proxies and decides when a version is in force everywhere.
 *
 * <p>A proxy whose rules lease has ended blocks access to all scoped records. A version is
 * therefore in force once every proxy either reported it or can no longer have a lease. A proxy
 * that missed a version does not know its wider scopes, so every member must prepare wider scopes
 * before they are accepted.
 */
final class RuleActivation {
    /**
     * Duration of a rules lease, which bounds the time for which a partitioned proxy delays a
     * version. The target for a version to be in force is 3 s.
     */
    static final long LEASE_NANOS = 2_000_000_000L;

    private final ReportTable reports;
    private final Map<String, Long> leasedUntil = new HashMap<>();
    private long earlierLeasesUntil;
    private long proposedVersion;
    private long proposedAt;

    RuleActivation(ReportTable reports) {
        this.reports = reports;
    }

    /** Resets the state; leases of an earlier leader may be valid for up to one lease duration. */
    void becameLeader(long now) {
        leasedUntil.clear();
        proposedVersion = 0;
        earlierLeasesUntil = now + LEASE_NANOS;
    }

    /**
     * Returns the rules lease for a report in milliseconds.
     *
     * <p>A proxy that is not a member gets no lease, because wider scopes do not wait for it. After
     * a restore no proxy gets a lease, and all scoped records are blocked, until an operator has
     * applied a file: a file that was accepted after the backup is unknown.
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

    /** Returns the proxies that may still apply rules older than {@code version}. */
    List<String> notInForceOn(ControlState state, long version, long now) {
        Set<String> candidates = new TreeSet<>(leasedUntil.keySet());
        state.members().keySet().forEach(candidates::add);
        candidates.removeIf(
                proxy ->
                        applied(proxy, version)
                                || now >= leasedUntil.getOrDefault(proxy, earlierLeasesUntil));
        return List.copyOf(candidates);
    }

    boolean inForce(ControlState state, long version, long now) {
        return now >= earlierLeasesUntil && notInForceOn(state, version, now).isEmpty();
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
                && !(proposedVersion == version && now - proposedAt < Outbox.REPROPOSE_NANOS)
                && inForce(state, version, now)) {
            proposedVersion = version;
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
