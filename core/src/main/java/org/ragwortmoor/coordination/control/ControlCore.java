package org.ragwortmoor.coordination.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.GroupView;

/**
 * The decision logic of a control process, which is active only on a ready leader.
 *
 * <p>Handles events with the time in nanoseconds of the process's monotonic clock and returns
 * actions for its host, in order. Not thread-safe. State that must survive a change of leader is in
 * {@link ControlState}; all other state is rebuilt from reports and announcements.
 */
public final class ControlCore {
    /**
     * Interval of the scans for failed endpoints and expired deadlines; small compared to the 600
     * ms after which an endpoint counts as silent.
     */
    static final long SCAN_INTERVAL_NANOS = 50_000_000L;

    /**
     * If the process did not run for this long, missing announcements are attributed to the pause
     * and not to failed endpoints.
     */
    private static final long PAUSE_DETECTION_NANOS = 300_000_000L;

    /** Interval between removals of expired entries. */
    private static final long PRUNE_INTERVAL_NANOS = 10_000_000_000L;

    /** Entries of proxies and endpoints that were silent for this long are removed. */
    private static final long RETENTION_NANOS = 2 * ProxyMembership.STALE_NANOS;

    private final Outbox out = new Outbox();
    private final ReportTable reports = new ReportTable();
    private final EndpointDirectory directory;
    private final ControlContext context;
    private final ShareAllocator allocator;
    private final RuleActivation activation;
    private final ProxyMembership membership;
    private final OperatorRequestHandler operatorRequests;
    private PromotionCoordinator promotions;
    private ControlState state;
    private boolean leader;
    private boolean ready;
    private boolean wasReadyInTerm;
    private long leaderTerm;
    private long lastEventAt;
    private long nextScan;
    private long nextPrune;
    private long wallMillis;

    /**
     * Creates the decision logic with the default share policy and failure detector.
     *
     * @param failureDomain failure domain of this control process
     * @param state current replicated state
     * @param checker validates rule files before they are proposed
     * @param now current time in nanoseconds
     */
    public ControlCore(
            String failureDomain, ControlState state, RuleFileChecker checker, long now) {
        this(
                failureDomain,
                state,
                checker,
                new FairSharePolicy(),
                FailureDetectorType.REPORTERS,
                now);
    }

    /** Available failure detectors; {@code TIMEOUT} is the baseline for comparison. */
    enum FailureDetectorType {
        REPORTERS,
        TIMEOUT
    }

    ControlCore(
            String failureDomain,
            ControlState state,
            RuleFileChecker checker,
            SharePolicy sharePolicy,
            FailureDetectorType detectorType,
            long now) {
        this.state = state;
        this.directory = new EndpointDirectory(now);
        FailureDetector failureDetector =
                detectorType == FailureDetectorType.REPORTERS
                        ? new QuorumFailureDetector(failureDomain, reports, directory)
                        : new TimeoutFailureDetector(EndpointDirectory.ALIVE_NANOS, directory);
        this.context = new ControlContext(reports, directory, failureDetector, out);
        this.allocator = new ShareAllocator(directory, sharePolicy);
        this.activation = new RuleActivation(reports);
        this.membership = new ProxyMembership(reports, directory);
        this.operatorRequests = new OperatorRequestHandler(checker, activation, out);
        this.promotions = new PromotionCoordinator(context);
        this.lastEventAt = now;
    }

    /** Returns the replicated state as of the last committed command. */
    public ControlState state() {
        return state;
    }

    /**
     * Handles an event and returns the resulting actions.
     *
     * @param now current time in nanoseconds, never decreasing
     */
    public List<ControlAction> handle(ControlEvent event, long now) {
        if (now - lastEventAt > PAUSE_DETECTION_NANOS) {
            directory.restart(now);
        }
        lastEventAt = now;
        if (event instanceof ControlEvent.ReportReceived e) {
            handleReport(e.report(), now);
        } else if (event instanceof ControlEvent.AnnouncementReceived e) {
            handleAnnouncement(e.announcement(), now);
        } else if (event instanceof ControlEvent.CommandCommitted e) {
            handleCommit(e, now);
        } else if (event instanceof ControlEvent.OperatorRequested e) {
            handleOperatorRequest(e.request(), now);
        } else if (event instanceof ControlEvent.EndpointAnswered e) {
            out.removeCall(e.call())
                    .filter(key -> active())
                    .map(key -> new PromotionCoordinator.CallTarget(e.call(), key))
                    .forEach(target -> promotions.answered(state, target, e.answer(), now));
        } else if (event instanceof ControlEvent.EndpointFailed e) {
            out.removeCall(e.call())
                    .filter(key -> active())
                    .map(key -> new PromotionCoordinator.CallTarget(e.call(), key))
                    .forEach(target -> promotions.failed(state, target, now));
        } else if (event instanceof ControlEvent.Tick e) {
            wallMillis = e.wallMillis();
            tick(now);
        } else {
            handleRoleChange(event, now);
        }
        return out.drain();
    }

    /** Returns the latest time by which the next tick must be sent. */
    public long nextDeadline() {
        return active() ? Math.min(nextScan, promotions.nextDeadline()) : Long.MAX_VALUE;
    }

    /** Returns a dump of the state for diagnosis. */
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
                allocator.inGracePeriod(now),
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

    private boolean active() {
        return leader && ready;
    }

    private void handleRoleChange(ControlEvent event, long now) {
        if (event instanceof ControlEvent.BecameLeader e) {
            leader = true;
            ready = false;
            wasReadyInTerm = false;
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
            operatorRequests.lostLeadership();
        } else if (event instanceof ControlEvent.ReadyChanged e) {
            ready = e.ready();
            if (active()) {
                becameReady(now);
            }
        } else if (event instanceof ControlEvent.StateRestored e) {
            state = e.state();
        }
    }

    private void becameReady(long now) {
        if (!wasReadyInTerm && state.members().isEmpty()) {
            allocator.skipGracePeriod();
        }
        wasReadyInTerm = true;
        directory.reconcileAll(state, out, now);
        nextScan = now;
        tick(now);
    }

    private void handleReport(ProxyReport received, long now) {
        if (!reports.accept(received, now) || !active()) {
            return;
        }
        ReportTable.Reporter reporter = reports.reporter(received.proxy()).get();
        membership.reported(received, state, out, now);
        out.add(
                new ControlAction.AnswerProxy(
                        reporter.hasObservations()
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

    private void handleAnnouncement(Announcement announcement, long now) {
        EndpointKey key = directory.accept(announcement, now);
        if (active()) {
            directory.reconcile(key, state, out, now);
            promotions.step(state, key.group(), now);
        }
    }

    private void handleCommit(ControlEvent.CommandCommitted e, long now) {
        state = e.state();
        out.committed(e.command());
        if (!leader) {
            return;
        }
        if (e.command() instanceof ControlCommand.OperatorCommand operation) {
            operatorRequests.committed(operation, e.result(), state);
        }
        if (active()) {
            promotions.committed(e.command(), e.result(), state, now);
            activation.step(state, out, wallMillis, now);
            allocator.grantFloors(state, out, now);
        }
    }

    private void handleOperatorRequest(OperatorRequest request, long now) {
        if (active()) {
            operatorRequests.request(request, state, now);
        } else {
            operatorRequests.refuseNotReady(request);
        }
    }

    private void tick(long now) {
        if (!active()) {
            return;
        }
        promotions.stepDue(state, now);
        if (now < nextScan) {
            return;
        }
        nextScan = now + SCAN_INTERVAL_NANOS;
        promotions.scan(state, now);
        activation.step(state, out, wallMillis, now);
        allocator.grantFloors(state, out, now);
        membership.step(state, out, now);
        operatorRequests.expire(now);
        if (now >= nextPrune) {
            nextPrune = now + PRUNE_INTERVAL_NANOS;
            out.prune(now);
            reports.prune(now, RETENTION_NANOS);
            directory.prune(now, RETENTION_NANOS);
        }
    }
}
