package org.ragwortmoor.coordination.quota;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.quota.QuotaHost.Decision;
import org.ragwortmoor.coordination.workspace.OperationGate;
import org.ragwortmoor.state.workspace.Workspace;

/**
 * The tokens that a proxy holds for the operations of its callers. Each operation of a limited
 * workspace uses one; it waits for the leader's answer if there is none, until the leader says that
 * the quota is used up or the time of the operation has passed.
 *
 * <p>Tokens are held under a lease that counts from the sending of the last confirmed report of the
 * epoch. After it, or after a suspension, the tokens are dropped.
 */
public final class QuotaAccount implements OperationGate {
    private static final Pending DECIDED = () -> {};

    /** Reports whose answers are still accepted; an answer normally takes 0.1 s. */
    private static final int MAX_UNANSWERED_REPORTS = 64;

    /** Delay that a caller is told if the leader does not answer: about one election. */
    private static final int UNANSWERED_RETRY_MILLIS = 500;

    private static final String EXHAUSTED = "the workspace's quota is used up";
    private static final String UNANSWERED = "the workspace's quota could not be confirmed";

    private final QuotaSettings settings;
    private final QuotaHost host;
    private final Map<String, WorkspaceTokens> workspaces = new LinkedHashMap<>();
    private final Map<Long, Sent> unanswered = new LinkedHashMap<>();
    private boolean anyLimit;
    private long limitsRevision;
    private long epoch;
    private long highestEpoch;
    private boolean joined;
    private long memberSince;
    private long leaseEnd;
    private long leaseClockOffset;

    private record Sent(
            long at,
            long clockOffset,
            long epoch,
            Map<WorkspaceTokens, WorkspaceTokens.Totals> totals) {}

    /** Creates an account without limits. */
    public QuotaAccount(QuotaSettings settings, QuotaHost host) {
        this.settings = settings;
        this.host = host;
    }

    /** Returns whether a workspace has a limit, so that reports contain the use of quotas. */
    public boolean active() {
        return anyLimit;
    }

    /** Sets the workspaces of a revision of the routes. */
    public void setWorkspaces(Option<List<Workspace>> all, long revision) {
        if (!settings.enabled() || revision <= limitsRevision) {
            return;
        }
        limitsRevision = revision;
        Set<String> limited = new HashSet<>();
        for (Workspace workspace : all.getOrElse(List.of())) {
            workspace
                    .limit()
                    .forEach(
                            limit -> {
                                limited.add(workspace.name());
                                tokens(workspace.name())
                                        .setLimit(settings.operationsPerWindow(limit), revision);
                            });
        }
        anyLimit = !limited.isEmpty();
        workspaces.forEach(
                (name, tokens) -> {
                    if (!limited.contains(name) && tokens.limited()) {
                        tokens.removeLimit().forEach(w -> w.listener().permitted());
                    }
                });
    }

    private WorkspaceTokens tokens(String name) {
        return workspaces.computeIfAbsent(name, n -> new WorkspaceTokens(n, settings.useNanos()));
    }

    @Override
    public Pending request(Operation operation, Listener listener) {
        WorkspaceTokens tokens = workspaces.get(operation.workspace());
        if (tokens == null || !tokens.limited()) {
            listener.permitted();
            return DECIDED;
        }
        long now = host.now();
        checkLease(now);
        tokens.countDemand(now);
        if (!tokens.anyWaiting() && tokens.use(now)) {
            host.decided(operation.workspace(), Decision.PERMITTED);
            listener.permitted();
            return DECIDED;
        }
        if (tokens.nanosExhausted(now) > 0) {
            refuseExhausted(tokens, operation, listener, now);
            return DECIDED;
        }
        WorkspaceTokens.Waiting entry = tokens.enqueue(operation, listener);
        host.schedule(operation.waitDeadline(), () -> expire(tokens, entry));
        host.reportNeeded();
        return () -> tokens.cancel(entry);
    }

    private void expire(WorkspaceTokens tokens, WorkspaceTokens.Waiting entry) {
        if (tokens.cancel(entry)) {
            host.decided(entry.operation().workspace(), Decision.UNANSWERED);
            entry.listener()
                    .refused(UNANSWERED, spread(entry.operation(), UNANSWERED_RETRY_MILLIS));
        }
    }

    private void refuseExhausted(
            WorkspaceTokens tokens, Operation operation, Listener listener, long now) {
        host.decided(operation.workspace(), Decision.EXHAUSTED);
        long millis = TimeUnit.NANOSECONDS.toMillis(tokens.nanosExhausted(now)) + 1;
        listener.refused(EXHAUSTED, spread(operation, (int) millis));
    }

    /** Returns a delay of up to half more, so that refused callers do not return all at once. */
    private static int spread(Operation operation, int millis) {
        return millis + Math.floorMod(operation.statementId().hashCode(), millis / 2 + 1);
    }

    /**
     * Returns what the next report contains about quotas.
     *
     * @param reportId number of the report; increases
     */
    public UsageReport report(long reportId) {
        long now = host.now();
        checkLease(now);
        List<WorkspaceUsage> usage = new ArrayList<>();
        Map<WorkspaceTokens, WorkspaceTokens.Totals> totals = new HashMap<>();
        if (epoch != 0) {
            for (WorkspaceTokens tokens : workspaces.values()) {
                for (WorkspaceUsage part : tokens.usage(!joined, now)) {
                    usage.add(part);
                    totals.put(tokens, tokens.totals());
                }
            }
        }
        unanswered.put(reportId, new Sent(now, host.clockOffsetMillis(), epoch, totals));
        if (unanswered.size() > MAX_UNANSWERED_REPORTS) {
            unanswered.remove(unanswered.keySet().iterator().next());
        }
        boolean complete = epoch != 0 && now - memberSince >= settings.forgetNanos();
        return new UsageReport(epoch, complete, usage);
    }

    /** Applies an answer of the leader. */
    public void apply(QuotaAnswer answer) {
        long now = host.now();
        checkLease(now);
        Sent sent = unanswered.remove(answer.reportId());
        boolean valid =
                sent != null
                        && answer.epoch() >= highestEpoch
                        && now - sent.at() < QuotaSettings.LEASE_NANOS
                        && sameClock(sent.clockOffset());
        if (!valid) {
            return;
        }
        if (answer.epoch() != epoch) {
            adopt(answer.epoch(), sent, now);
            return;
        }
        if (sent.epoch() != epoch) {
            return;
        }
        joined = true;
        renewLease(sent);
        sent.totals().forEach(WorkspaceTokens::confirm);
        for (QuotaGrant grant : answer.grants()) {
            WorkspaceTokens tokens = tokens(grant.workspace());
            tokens.grant(grant, answer.routesRevision(), now);
            serveWaiting(tokens, now);
        }
        if (workspaces.values().stream().anyMatch(WorkspaceTokens::anyWaiting)) {
            host.reportNeeded();
        }
    }

    /**
     * Adopts the epoch of a leader. Grants of earlier epochs are not accepted any more, so that the
     * next report states all tokens that this proxy can use. The answer does not renew a lease on
     * tokens, because the leader does not know of them yet.
     */
    private void adopt(long newEpoch, Sent sent, long now) {
        if (epoch == 0) {
            memberSince = now;
            renewLease(sent);
        }
        epoch = newEpoch;
        highestEpoch = newEpoch;
        joined = false;
        unanswered.clear();
        workspaces.values().forEach(WorkspaceTokens::adoptEpoch);
        host.reportNeeded();
    }

    private void renewLease(Sent sent) {
        long end = sent.at() + QuotaSettings.LEASE_NANOS;
        if (epoch == 0 || end - leaseEnd > 0) {
            leaseEnd = end;
            leaseClockOffset = sent.clockOffset();
        }
    }

    private void serveWaiting(WorkspaceTokens tokens, long now) {
        for (WorkspaceTokens.Waiting covered : tokens.takeCovered(now)) {
            host.decided(covered.operation().workspace(), Decision.PERMITTED_AFTER_WAIT);
            covered.listener().permitted();
        }
        if (tokens.nanosExhausted(now) > 0) {
            for (WorkspaceTokens.Waiting refused : tokens.takeWaiting()) {
                refuseExhausted(tokens, refused.operation(), refused.listener(), now);
            }
        }
    }

    private void checkLease(long now) {
        if (epoch != 0 && (now - leaseEnd >= 0 || !sameClock(leaseClockOffset))) {
            epoch = 0;
            joined = false;
            unanswered.clear();
            workspaces.values().forEach(WorkspaceTokens::lapse);
        }
    }

    /** Returns whether the machine was not suspended since the clock offset was read. */
    private boolean sameClock(long offset) {
        return Math.abs(host.clockOffsetMillis() - offset)
                < QuotaSettings.SUSPENSION_THRESHOLD_MILLIS;
    }

    /** Returns one line per limited workspace, for the state dump. */
    public List<String> describe() {
        return workspaces.values().stream()
                .filter(WorkspaceTokens::limited)
                .map(tokens -> tokens + " epoch=" + epoch)
                .toList();
    }
}
