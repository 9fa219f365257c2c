package org.ragwortmoor.coordination.quota;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.workspace.Workspace;

/**
 * The tokens of all workspaces, at the leader of the control group. A token that a proxy has used
 * is granted again only one window after the leader has learned of its use, so no window contains
 * more operations than there are tokens.
 *
 * <p>Nothing is stored. A new leader learns from the proxies which tokens they hold and have used
 * lately. It grants tokens once it has heard from as many proxies as may have had tokens under its
 * predecessors, which is at most the recorded number of proxies, or once all tokens of its
 * predecessors have been used and forgotten.
 */
public final class QuotaLedger {
    /** Delay that proxies are told while a new leader does not know the tokens. */
    private static final int UNSETTLED_RETRY_MILLIS = 300;

    /** Time for which a report waits for its confirmation. */
    private static final long CONFIRMATION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final QuotaSettings settings;
    private final Map<Process, LedgerMember> members = new LinkedHashMap<>();
    private final Map<String, TokenPool> pools = new TreeMap<>();
    private final Set<String> accounted = new HashSet<>();
    private long epoch;
    private long electedAt;
    private long routesRevision;
    private int recordedProxies;
    private boolean settled;

    /** A process of a proxy. */
    public record Process(String proxy, long incarnation) {}

    /** An answer to a process. */
    public record Answer(Process process, QuotaAnswer answer) {}

    /** Creates a ledger of a process that does not lead. */
    public QuotaLedger(QuotaSettings settings) {
        this.settings = settings;
    }

    /**
     * Starts an epoch after this process was elected. Nothing changes if it has led the epoch
     * without another leader in between.
     *
     * @param term term of the leader, which is the epoch of its tokens
     * @param proxies recorded size of the fleet; see {@link #setRecordedProxies}
     */
    public void elected(long term, int proxies, long now) {
        recordedProxies = proxies;
        if (term == epoch) {
            return;
        }
        epoch = term;
        electedAt = now;
        settled = false;
        members.clear();
        pools.clear();
        accounted.clear();
        routesRevision = 0;
    }

    /** Sets the workspaces of a revision of the routes. */
    public void setWorkspaces(Option<List<Workspace>> all, long revision) {
        if (revision == routesRevision) {
            return;
        }
        routesRevision = revision;
        Map<String, Long> tokens = new HashMap<>();
        for (Workspace workspace : all.getOrElse(List.of())) {
            workspace.limit().forEach(l -> tokens.put(workspace.name(), settings.tokens(l)));
        }
        tokens.keySet().forEach(this::pool);
        pools.forEach((name, pool) -> pool.setTokens(tokens.getOrDefault(name, 0L)));
    }

    /**
     * Sets the number of proxies that may have tokens, which is the recorded size of the fleet. It
     * must not be reduced below {@link #memberCount}.
     */
    public void setRecordedProxies(int number) {
        recordedProxies = number;
    }

    private TokenPool pool(String workspace) {
        return pools.computeIfAbsent(workspace, name -> new TokenPool(settings.useNanos()));
    }

    /** Records a report; it is answered once it is confirmed. */
    public void record(Process process, long reportId, UsageReport report, long now) {
        if (report.epoch() > epoch) {
            return;
        }
        LedgerMember member =
                members.computeIfAbsent(process, p -> new LedgerMember(reportId, now));
        if (!member.arrived(reportId, report, now)) {
            return;
        }
        if (report.epoch() == 0) {
            // The lease of the process has ended, so it does not use what it held.
            member.takeBack(now);
            member.setState(LedgerMember.State.NEW);
            return;
        }
        member.admit();
        if (report.epoch() == epoch) {
            recordUsage(member, report, now);
            if (report.complete()) {
                accounted.add(process.proxy());
            }
        }
    }

    private void recordUsage(LedgerMember member, UsageReport report, long now) {
        if (member.state() == LedgerMember.State.LAPSED) {
            return;
        }
        boolean joining = member.state() == LedgerMember.State.NEW;
        member.setState(LedgerMember.State.JOINED);
        for (WorkspaceUsage usage : report.usage()) {
            HeldTokens held = held(member, usage.workspace());
            if (joining) {
                held.adopt(usage, now);
            } else {
                held.record(usage, now);
            }
        }
    }

    private HeldTokens held(LedgerMember member, String workspace) {
        return member.tokens().computeIfAbsent(workspace, w -> new HeldTokens(pool(w)));
    }

    /** Takes back the tokens of proxies whose leases have ended. */
    public void tick(long now) {
        for (LedgerMember member : members.values()) {
            boolean joined = member.state() == LedgerMember.State.JOINED;
            if (joined && now - member.lastReportAt() >= QuotaSettings.TAKE_BACK_NANOS) {
                member.takeBack(now);
                member.setState(LedgerMember.State.LAPSED);
            }
            member.forgetBefore(now - CONFIRMATION_TIMEOUT_NANOS);
        }
        members.values().removeIf(m -> now - m.lastReportAt() >= settings.forgetNanos());
        settled =
                settled
                        || accounted.size() >= recordedProxies
                        || now - electedAt >= settings.forgetNanos();
    }

    /**
     * Answers the reports that are confirmed.
     *
     * @param contactAt time for which a majority has since answered messages of this leader
     */
    public List<Answer> confirm(long contactAt, long now) {
        tick(now);
        List<Answer> answers = new ArrayList<>();
        members.forEach(
                (process, member) ->
                        member.confirmed(contactAt)
                                .flatMap(arrived -> answer(process, member, arrived, now))
                                .forEach(answer -> answers.add(new Answer(process, answer))));
        return answers;
    }

    private Option<QuotaAnswer> answer(
            Process process, LedgerMember member, LedgerMember.Arrived arrived, long now) {
        long reported = arrived.report().epoch();
        if (reported == 0 && !admit(process, member)) {
            return Option.none();
        }
        if (reported != epoch) {
            return Option.some(new QuotaAnswer(epoch, arrived.id(), routesRevision, List.of()));
        }
        if (member.state() != LedgerMember.State.JOINED) {
            return Option.none();
        }
        Map<String, QuotaGrant> grants = new LinkedHashMap<>();
        for (WorkspaceUsage usage : arrived.report().usage()) {
            grant(usage, held(member, usage.workspace()), now)
                    .forEach(grant -> grants.put(grant.workspace(), grant));
        }
        // An earlier answer may be lost, or still be on its way.
        member.tokens().entrySet().stream()
                .filter(e -> !e.getValue().grantsAcknowledged())
                .forEach(
                        e ->
                                grants.putIfAbsent(
                                        e.getKey(),
                                        new QuotaGrant(e.getKey(), e.getValue().granted(), 0)));
        return Option.some(
                new QuotaAnswer(epoch, arrived.id(), routesRevision, List.copyOf(grants.values())));
    }

    /** Admits a process without tokens, if the predecessors' tokens and the fleet permit it. */
    private boolean admit(Process process, LedgerMember member) {
        boolean known = admittedProxies().contains(process.proxy());
        if (settled && (known || admittedProxies().size() < recordedProxies)) {
            member.admit();
        }
        return settled && member.admitted();
    }

    private Set<String> admittedProxies() {
        Set<String> names = new HashSet<>();
        members.forEach(
                (process, member) -> {
                    if (member.admitted()) {
                        names.add(process.proxy());
                    }
                });
        return names;
    }

    /** Returns the number of proxies that may have tokens, or have used some lately. */
    public int memberCount() {
        return admittedProxies().size();
    }

    private Option<QuotaGrant> grant(WorkspaceUsage usage, HeldTokens held, long now) {
        long before = held.held();
        long needed = Math.max(0, usage.waiting() - before);
        long advance = Math.max(0, usage.wanted() - Math.max(0, before - usage.waiting()));
        if (needed == 0 && advance == 0) {
            return Option.none();
        }
        if (!settled) {
            return Option.when(
                    needed > 0,
                    () ->
                            new QuotaGrant(
                                    usage.workspace(), held.granted(), UNSETTLED_RETRY_MILLIS));
        }
        long added = held.grant(needed, advance, now);
        int retry = added < needed ? held.pool().millisUntilFree(needed - added, now) : 0;
        return Option.when(
                added > 0 || retry > 0,
                () -> new QuotaGrant(usage.workspace(), held.granted(), retry));
    }

    /** Returns the state as text lines, for the state dump. */
    public List<String> describe(long now) {
        List<String> lines = new ArrayList<>();
        if (!pools.isEmpty()) {
            lines.add(
                    "quotas epoch="
                            + epoch
                            + " settled="
                            + settled
                            + " proxies="
                            + memberCount()
                            + "/"
                            + recordedProxies);
            pools.forEach((name, pool) -> lines.add(pool.describe(name, now)));
        }
        return lines;
    }
}
