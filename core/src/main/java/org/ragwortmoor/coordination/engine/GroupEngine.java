package org.ragwortmoor.coordination.engine;

import java.util.List;
import java.util.random.RandomGenerator;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.GroupView;

/**
 * Handles the requests of a proxy for one database group: routing, admission, connections, retries
 * and confirmation.
 *
 * <p>The engine is a deterministic state machine without I/O, threads or clocks. Its host passes
 * events with the current time and executes the returned actions in order. It is not thread-safe:
 * the host must guard it with one lock and execute the actions without holding it.
 */
public final class GroupEngine {
    private final EngineContext ctx;
    private boolean viewReceived;

    /**
     * Creates an engine without a view of its group. Requests are queued until the first view
     * arrives.
     *
     * @param settings thresholds
     * @param proxy name of the proxy, unique among the proxies
     * @param group name of the group
     * @param random source of randomness for jitter and load balancing
     */
    public GroupEngine(
            EngineSettings settings, String proxy, String group, RandomGenerator random) {
        this.ctx = new EngineContext(settings, proxy, group, random);
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param now current time in nanoseconds, of the clock that request deadlines and leases use
     * @return actions that the host must execute in order
     */
    public List<EngineAction> handle(EngineEvent event, long now) {
        ctx.now(now);
        dispatch(event);
        ctx.timers().runDue(ctx.now());
        ctx.pool().maintain();
        ctx.transactions().abortDisconnected();
        ctx.admission().dispatchQueued();
        if (ctx.stopping()) {
            ctx.pool().requestMaintenance();
            ctx.pool().maintain();
        }
        return ctx.drainActions();
    }

    private void dispatch(EngineEvent event) {
        if (event instanceof EngineEvent.AnswerReceived answer) {
            ctx.pool().deliver(answer.connection(), answer.exchange(), answer.answer());
        } else if (event instanceof EngineEvent.RequestArrived arrived) {
            handleRequest(arrived.request());
        } else if (event instanceof EngineEvent.CallerLost lost) {
            handleCallerLost(lost.session());
        } else if (event instanceof EngineEvent.RequestRevoked revoked) {
            handleRevocation(revoked);
        } else if (event instanceof EngineEvent.ConnectionOpened opened) {
            ctx.pool().opened(opened.connection());
        } else if (event instanceof EngineEvent.ConnectionFailed failed) {
            ctx.pool().failedToOpen(failed.connection(), failed.reason());
        } else if (event instanceof EngineEvent.ConnectionLost lost) {
            ctx.pool().lost(lost.connection(), lost.reason());
        } else if (event instanceof EngineEvent.GroupChanged changed) {
            handleGroupChange(changed.view());
        } else if (event instanceof EngineEvent.ShareLeased lease) {
            applyLease(lease);
        } else if (event instanceof EngineEvent.StopRequested) {
            ctx.stop();
        }
    }

    private void handleRequest(CallerRequest request) {
        ctx.count(Counter.REQUESTS);
        ctx.retryBudget().recordRequest();
        Task task = createTask(request);
        ctx.tasks().put(request.id(), task);
        boolean opensNewWork =
                !(request instanceof CallerRequest.InTransaction
                        || request instanceof CallerRequest.Commit
                        || request instanceof CallerRequest.Rollback);
        if (request.deadline() <= ctx.now()) {
            task.refuse(ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed on arrival", 0);
        } else if (ctx.stopping() && opensNewWork) {
            task.refuse(ErrorKind.STOPPING, "the proxy is stopping; use another proxy", 1);
        } else {
            task.start();
        }
    }

    private Task createTask(CallerRequest request) {
        if (request instanceof CallerRequest.Read read) {
            return new ReadTask(ctx, read);
        }
        if (request instanceof CallerRequest.Write write) {
            return new WriteTask(ctx, write);
        }
        if (request instanceof CallerRequest.Begin begin) {
            return new BeginTask(ctx, begin);
        }
        if (request instanceof CallerRequest.InTransaction statement) {
            return new InTransactionTask(ctx, statement);
        }
        if (request instanceof CallerRequest.Commit commit) {
            return new CommitTask(ctx, commit);
        }
        if (request instanceof CallerRequest.Rollback rollback) {
            return new RollbackTask(ctx, rollback);
        }
        return new ResolveTask(ctx, (CallerRequest.Resolve) request);
    }

    private void handleCallerLost(String session) {
        ctx.transactions().abortSession(session);
        for (Task task : List.copyOf(ctx.tasks().values())) {
            if (task.request().session().equals(session) && !task.answered()) {
                task.onCallerLost();
            }
        }
    }

    private void handleRevocation(EngineEvent.RequestRevoked revoked) {
        Task task = ctx.tasks().get(revoked.request());
        if (task != null && !task.answered()) {
            ctx.count(Counter.REVOKED);
            task.onRevoked(revoked.kind(), revoked.message());
        }
    }

    /** Applies a view unless a view of a newer term is already known. */
    private void handleGroupChange(GroupView view) {
        if (viewReceived && view.term() < ctx.view().term()) {
            return;
        }
        boolean newTerm = view.term() > ctx.view().term();
        viewReceived = true;
        ctx.applyView(view);
        ctx.pool().requestMaintenance();
        ctx.statuses().retainMembers();
        ctx.statuses().start();
        if (newTerm) {
            ctx.admission().placement().resumePrimary();
            ctx.transactions().abortOlderTerms();
            for (Task task : List.copyOf(ctx.tasks().values())) {
                if (!task.answered()) {
                    task.onNewTerm();
                }
            }
        }
        ctx.confirmations().completeWaits();
        ctx.statuses().awaitReplicas();
    }

    private void applyLease(EngineEvent.ShareLeased lease) {
        Member member = ctx.members().get(lease.endpoint());
        if (member != null) {
            member.share().applyLease(lease);
            ctx.pool().requestMaintenance();
            ctx.timers().schedule(lease.deadline(), ctx.pool()::requestMaintenance);
        }
    }

    /** Returns the latest time at which {@link EngineEvent.Tick} must be handled. */
    public long nextDeadline() {
        return ctx.timers().next();
    }

    /**
     * Returns whether a requested stop is complete: no requests, transactions or connections are
     * left.
     */
    public boolean stopped() {
        return ctx.stopping()
                && ctx.tasks().isEmpty()
                && ctx.transactions().isEmpty()
                && ctx.pool().isEmpty();
    }

    /** Returns a snapshot of the state. */
    public EngineDump dump() {
        return new EngineDump(
                ctx.view().group(),
                ctx.proxy(),
                ctx.view().term(),
                ctx.primaryName(),
                ctx.confirmations().tracker().confirmed(),
                ctx.tasks().size(),
                ctx.admission().queued(WorkClass.SHORT),
                ctx.admission().queued(WorkClass.LONG),
                ctx.transactions().size(),
                ctx.retryBudget().tokens(),
                ctx.stopping(),
                ctx.counters(),
                ctx.members().values().stream().map(this::dump).toList());
    }

    private EngineDump.Endpoint dump(Member member) {
        EndpointInfo info = member.info();
        EndpointUse use = new EndpointUse(ctx, member);
        return new EngineDump.Endpoint(
                info.endpoint(),
                member.status() == null ? 0 : member.status().promisedTerm(),
                member.last(),
                member.leaving(),
                member.silentNanos(ctx.now()) / 1_000_000,
                use.ageMillis(),
                use.open(),
                use.opening(),
                use.idle(),
                member.share().floor(),
                member.share().connections(ctx.now()),
                member.share().longPermits(ctx.now()),
                use.wanted(),
                member.limiter().limit(),
                member.running(WorkClass.SHORT),
                member.running(WorkClass.LONG),
                use.longWanted());
    }
}
