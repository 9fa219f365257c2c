package org.ragwortmoor.coordination.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.GroupView;

/**
 * The decisions of a control process, which acts while it is a ready leader.
 *
 * <p>Takes events with the time in nanoseconds of the process's monotonic clock and returns actions
 * for its host, in order. Not safe for use by several threads at once. What must survive a change
 * of the leader is in {@link ControlState}; everything here is rebuilt from reports and
 * announcements.
 */
public final class ControlCore {
    /**
     * Interval of scans for suspicions and other deadlines, small against the 600 ms of silence.
     */
    static final long SCAN_NANOS = 50_000_000L;

    /** A leader that did not run for this long has missed announcements, not their senders. */
    private static final long FROZEN_NANOS = 300_000_000L;

    /** Interval of removing what is no longer needed. */
    private static final long PRUNE_NANOS = 10_000_000_000L;

    /** Proxies and endpoints that were silent for this long are forgotten. */
    private static final long FORGET_NANOS = 2 * ProxyMembership.STALE_NANOS;

    private final Outbox out = new Outbox();
    private final ReportTable reports = new ReportTable();
    private final EndpointDirectory directory;
    private final ControlContext context;
    private final ShareAllocator allocator;
    private final RuleActivation activation;
    private final ProxyMembership membership;
    private final OperatorDesk desk;
    private PromotionCoordinator promotions;
    private ControlState state;
    private boolean leader;
    private boolean ready;
    private boolean wasReady;
    private long leaderTerm;
    private long lastEventAt;
    private long nextScan;
    private long nextPrune;
    private long wallMillis;

    /**
     * Creates the core.
     *
     * @param failureDomain failure domain of this control process
     * @param state replicated state so far
     * @param checker checks rule files before they are proposed
     * @param now current time in nanoseconds
     */
    public ControlCore(
            String failureDomain, ControlState state, RuleFileChecker checker, long now) {
        this(failureDomain, state, checker, new FairShares(), SuspicionChoice.REPORTERS, now);
    }

    /** Ways to detect failures, for comparison. */
    enum SuspicionChoice {
        REPORTERS,
        TIMEOUT
    }

    ControlCore(
            String failureDomain,
            ControlState state,
            RuleFileChecker checker,
            ShareRule shareRule,
            SuspicionChoice suspicion,
            long now) {
        this.state = state;
        this.directory = new EndpointDirectory(now);
        SuspicionRule rule =
                suspicion == SuspicionChoice.REPORTERS
                        ? new FailureDetector(failureDomain, reports, directory)
                        : new TimeoutDetector(EndpointDirectory.ALIVE_NANOS, directory);
        this.context = new ControlContext(reports, directory, rule, out);
        this.allocator = new ShareAllocator(directory, shareRule);
        this.activation = new RuleActivation(reports);
        this.membership = new ProxyMembership(reports, directory);
        this.desk = new OperatorDesk(checker, activation, out);
        this.promotions = new PromotionCoordinator(context);
        this.lastEventAt = now;
    }

    /** Returns the replicated state as of the last committed command. */
    public ControlState state() {
        return state;
    }

    /**
     * Takes an event.
     *
     * @param now current time in nanoseconds, never decreasing
     */
    public List<ControlAction> handle(ControlEvent event, long now) {
        if (now - lastEventAt > FROZEN_NANOS) {
            directory.restart(now);
        }
        lastEventAt = now;
        if (event instanceof ControlEvent.ReportReceived e) {
            reported(e.report(), now);
        } else if (event instanceof ControlEvent.AnnouncementReceived e) {
            announced(e.announcement(), now);
        } else if (event instanceof ControlEvent.CommandCommitted e) {
            committed(e, now);
        } else if (event instanceof ControlEvent.OperatorRequested e) {
            requested(e.request(), now);
        } else if (event instanceof ControlEvent.EndpointAnswered e) {
            out.takeCall(e.call())
                    .filter(key -> acting())
                    .map(key -> new PromotionCoordinator.CallTarget(e.call(), key))
                    .forEach(target -> promotions.answered(state, target, e.answer(), now));
        } else if (event instanceof ControlEvent.EndpointFailed e) {
            out.takeCall(e.call())
                    .filter(key -> acting())
                    .map(key -> new PromotionCoordinator.CallTarget(e.call(), key))
                    .forEach(target -> promotions.failed(state, target, now));
        } else if (event instanceof ControlEvent.Tick e) {
            wallMillis = e.wallMillis();
            tick(now);
        } else {
            roleChanged(event, now);
        }
        return out.drain();
    }

    /** Returns the time at which the next tick is due at the latest. */
    public long nextDeadline() {
        return acting() ? Math.min(nextScan, promotions.nextDeadline()) : Long.MAX_VALUE;
    }

    /** Returns the state for people. */
    public ControlDump dump() {
        long now = lastEventAt;
        Map<String, String> waiting = promotions.waiting();
        return new ControlDump(
                leader,
                ready,
                leaderTerm,
                state.revision(),
                state.rules().version(),
                state.rules().inForce(),
                activation.notInForceOn(state, state.rules().version(), now),
                state.rules().pending().map(RuleHistory.Entry::version),
                activation.waitingFor(state),
                state.members().values().toJavaList(),
                reports.reporters().entrySet().stream()
                        .filter(e -> e.getValue().fresh(now))
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList(),
                allocator.holding(now),
                state.groups()
                        .values()
                        .map(
                                g ->
                                        new ControlDump.GroupDump(
                                                g.view(),
                                                g.begunTerm(),
                                                g.reason(),
                                                waiting.getOrDefault(g.group(), "")))
                        .toJavaList(),
                directory.uncounted(state, now));
    }

    private boolean acting() {
        return leader && ready;
    }

    private void roleChanged(ControlEvent event, long now) {
        if (event instanceof ControlEvent.BecameLeader e) {
            leader = true;
            ready = false;
            wasReady = false;
            leaderTerm = e.consensusTerm();
            reports.becameLeader(leaderTerm);
            promotions = new PromotionCoordinator(context);
            out.reset();
            directory.restart(now);
            allocator.becameLeader(leaderTerm, now);
            activation.becameLeader(now);
            membership.becameLeader(now);
        } else if (event instanceof ControlEvent.LostLeadership) {
            leader = false;
            ready = false;
            desk.lostLeadership();
        } else if (event instanceof ControlEvent.ReadyChanged e) {
            ready = e.ready();
            if (acting()) {
                becameReady(now);
            }
        } else if (event instanceof ControlEvent.StateRestored e) {
            state = e.state();
        }
    }

    private void becameReady(long now) {
        if (!wasReady && state.members().isEmpty()) {
            allocator.noEarlierLeases();
        }
        wasReady = true;
        directory.reconcileAll(state, out, now);
        nextScan = now;
        tick(now);
    }

    private void reported(ProxyReport received, long now) {
        if (!reports.accept(received, now) || !acting()) {
            return;
        }
        ReportTable.Reporter reporter = reports.reporter(received.proxy()).get();
        membership.reported(received, state, out, now);
        out.add(
                new ControlAction.AnswerProxy(
                        reporter.known()
                                ? update(reporter.report(), now)
                                : ControlUpdate.requestComplete(received, leaderTerm)));
        activation.step(state, out, wallMillis, now);
    }

    private ControlUpdate update(ProxyReport report, long now) {
        return new ControlUpdate(
                report.proxy(),
                leaderTerm,
                report.sequence(),
                report.sentAt(),
                activation.lease(report, state, now),
                ShareAllocator.LEASE_NANOS / 1_000_000,
                activation.rulesFor(report, state),
                activation.pendingFor(report, state),
                changedGroups(report),
                allocator.grant(report, state, now),
                changedKeys(report),
                report.incarnation(),
                state.revision());
    }

    private List<GroupView> changedGroups(ProxyReport report) {
        long known = report.acknowledged().groupsRevision();
        List<GroupView> changed = new ArrayList<>();
        if (known == state.revision()) {
            return changed;
        }
        for (GroupState group : state.groups().values()) {
            if (group.revision() > known || known > state.revision()) {
                changed.add(group.view());
            }
        }
        return changed;
    }

    private List<TokenKey> changedKeys(ProxyReport report) {
        return report.acknowledged().groupsRevision() == state.revision()
                ? List.of()
                : state.tokenKeys().asJava();
    }

    private void announced(Announcement announcement, long now) {
        EndpointKey key = directory.accept(announcement, now);
        if (acting()) {
            directory.reconcile(key, state, out, now);
            promotions.step(state, key.group(), now);
        }
    }

    private void committed(ControlEvent.CommandCommitted e, long now) {
        state = e.state();
        out.committed(e.command());
        if (!leader) {
            return;
        }
        if (e.command() instanceof ControlCommand.OperatorCommand operation) {
            desk.committed(operation, e.result(), state);
        }
        if (acting()) {
            promotions.committed(e.command(), e.result(), state, now);
            activation.step(state, out, wallMillis, now);
            allocator.grantFloors(state, out, now);
        }
    }

    private void requested(OperatorRequest request, long now) {
        if (acting()) {
            desk.request(request, state, now);
        } else {
            desk.refuseNotReady(request);
        }
    }

    private void tick(long now) {
        if (!acting()) {
            return;
        }
        promotions.stepDue(state, now);
        if (now < nextScan) {
            return;
        }
        nextScan = now + SCAN_NANOS;
        promotions.scan(state, now);
        activation.step(state, out, wallMillis, now);
        allocator.grantFloors(state, out, now);
        membership.step(state, out, now);
        desk.expire(now);
        if (now >= nextPrune) {
            nextPrune = now + PRUNE_NANOS;
            out.prune(now);
            reports.prune(now, FORGET_NANOS);
            directory.prune(now, FORGET_NANOS);
        }
    }
}
