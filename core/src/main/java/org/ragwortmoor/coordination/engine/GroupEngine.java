package org.ragwortmoor.coordination.engine;

import java.util.List;
import java.util.random.RandomGenerator;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.GroupView;

/**
 * A proxy's handling of one database group: routing, admission, connections, retries and
 * confirmation.
 *
 * <p>The engine is a deterministic state machine without I/O, threads or clocks. Its host passes
 * events with the current time and carries out the returned actions in order. It is not
 * synchronized; the host guards it by one lock and carries out the actions outside of it.
 */
public final class GroupEngine {
    private final EngineContext ctx;
    private boolean described;

    /**
     * Creates an engine without a view of its group; requests wait until the first one arrives.
     *
     * @param settings thresholds
     * @param proxy name of the proxy, unique among the proxies
     * @param group name of the group
     * @param random source of jitter and of random choices
     */
    public GroupEngine(
            EngineSettings settings, String proxy, String group, RandomGenerator random) {
        this.ctx = new EngineContext(settings, proxy, group, random);
    }

    /**
     * Handles an event.
     *
     * @param event what happened
     * @param now time in nanoseconds of the clock that request deadlines and leases use
     * @return what the host must do, in this order
     */
    public List<EngineAction> handle(EngineEvent event, long now) {
        ctx.now(now);
        dispatch(event);
        ctx.timers().runDue(ctx.now());
        ctx.pool().maintain();
        ctx.transactions().dropClosed();
        ctx.admission().pump();
        if (ctx.stopping()) {
            ctx.pool().touch();
            ctx.pool().maintain();
        }
        return ctx.takeActions();
    }

    private void dispatch(EngineEvent event) {
        if (event instanceof EngineEvent.AnswerReceived answer) {
            ctx.pool().answered(answer.connection(), answer.exchange(), answer.answer());
        } else if (event instanceof EngineEvent.RequestArrived arrived) {
            arrived(arrived.request());
        } else if (event instanceof EngineEvent.CallerLost lost) {
            callerLost(lost.session());
        } else if (event instanceof EngineEvent.RequestRevoked revoked) {
            revoked(revoked);
        } else if (event instanceof EngineEvent.ConnectionOpened opened) {
            ctx.pool().opened(opened.connection());
        } else if (event instanceof EngineEvent.ConnectionFailed failed) {
            ctx.pool().failedToOpen(failed.connection(), failed.reason());
        } else if (event instanceof EngineEvent.ConnectionLost lost) {
            ctx.pool().lost(lost.connection(), lost.reason());
        } else if (event instanceof EngineEvent.GroupChanged changed) {
            groupChanged(changed.view());
        } else if (event instanceof EngineEvent.ShareLeased lease) {
            leased(lease);
        } else if (event instanceof EngineEvent.StopRequested) {
            ctx.stop();
        }
    }

    private void arrived(CallerRequest request) {
        ctx.count(Counter.REQUESTS);
        ctx.retryBudget().requestArrived();
        Task task = task(request);
        ctx.tasks().put(request.id(), task);
        boolean begins =
                !(request instanceof CallerRequest.InTransaction
                        || request instanceof CallerRequest.Commit
                        || request instanceof CallerRequest.Rollback);
        if (request.deadline() <= ctx.now()) {
            task.refuse(ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed on arrival", 0);
        } else if (ctx.stopping() && begins) {
            task.refuse(ErrorKind.STOPPING, "the proxy is stopping; use another proxy", 1);
        } else {
            task.arrived();
        }
    }

    private Task task(CallerRequest request) {
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

    private void callerLost(String session) {
        ctx.transactions().callerLost(session);
        for (Task task : List.copyOf(ctx.tasks().values())) {
            if (task.request().session().equals(session) && !task.answered()) {
                task.callerLost();
            }
        }
    }

    private void revoked(EngineEvent.RequestRevoked revoked) {
        Task task = ctx.tasks().get(revoked.request());
        if (task != null && !task.answered()) {
            ctx.count(Counter.REVOKED);
            task.revoked(revoked.kind(), revoked.message());
        }
    }

    /** Takes a view unless a newer term is known already. */
    private void groupChanged(GroupView view) {
        if (described && view.term() < ctx.view().term()) {
            return;
        }
        boolean newTerm = view.term() > ctx.view().term();
        described = true;
        ctx.describe(view);
        ctx.pool().touch();
        ctx.statuses().retainMembers();
        ctx.statuses().start();
        if (newTerm) {
            ctx.admission().placement().primaryChanged();
            ctx.transactions().groupChanged();
            for (Task task : List.copyOf(ctx.tasks().values())) {
                if (!task.answered()) {
                    task.groupChanged();
                }
            }
        }
        ctx.confirmations().settle();
        ctx.statuses().awaitReplicas();
    }

    private void leased(EngineEvent.ShareLeased lease) {
        Member member = ctx.members().get(lease.endpoint());
        if (member != null) {
            member.share().lease(lease);
            ctx.pool().touch();
            ctx.timers().at(lease.deadline(), ctx.pool()::touch);
        }
    }

    /** Returns the time at which {@link EngineEvent.Tick} must be handled at the latest. */
    public long nextDeadline() {
        return ctx.timers().next();
    }

    /** Returns whether a requested stop is complete: nothing is in flight and nothing is open. */
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
