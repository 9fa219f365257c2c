package org.ragwortmoor.coordination.engine;

import java.util.List;
import java.util.random.RandomGenerator;
import org.ragwortmoor.coordination.engine.WorkQueue.Outcome;

/** Chooses the endpoint and the connection for a queued request. */
final class Placement {
    /** Queueing time after which a short read may use spare capacity of the primary. */
    private static final long OVERFLOW_TO_PRIMARY_AFTER_NANOS = 5_000_000L;

    private final EngineContext ctx;
    private final Admission admission;
    private final ReadRouter router;
    private long primaryPausedUntil = Long.MIN_VALUE;

    Placement(EngineContext ctx, Admission admission) {
        this.ctx = ctx;
        this.admission = admission;
        this.router =
                ctx.settings().replicaReads()
                        ? new LineageReadRouter(ctx)
                        : new PrimaryReadRouter();
    }

    /** Sends no new work to the primary for the retry delay, after it refused to act as primary. */
    void pausePrimary() {
        primaryPausedUntil = ctx.now() + ctx.settings().retryDelayNanos();
        ctx.timers().schedule(primaryPausedUntil, () -> {});
    }

    void resumePrimary() {
        primaryPausedUntil = Long.MIN_VALUE;
    }

    boolean primaryUsable() {
        Member primary = ctx.primary();
        return primary != null && !primary.leaving() && ctx.now() >= primaryPausedUntil;
    }

    /** Returns how many statements the destination can have in flight. */
    double capacity(Destination destination, WorkClass workClass) {
        if (destination != Destination.REPLICA) {
            return ctx.primary() == null ? 0 : capacity(ctx.primary(), workClass);
        }
        return ctx.members().values().stream()
                .filter(m -> !ctx.isPrimary(m) && !m.leaving())
                .mapToDouble(m -> capacity(m, workClass))
                .sum();
    }

    private double capacity(Member member, WorkClass workClass) {
        int connections = member.share().connections(ctx.now());
        return workClass == WorkClass.LONG
                ? member.longStatementLimit(ctx.now())
                : Math.min(connections, member.limiter().limit());
    }

    Outcome place(Task task) {
        return switch (task.destination()) {
            case TRANSACTION -> placeInTransaction(task);
            case PRIMARY -> placeOnPrimary(task);
            case REPLICA -> placeRead((ReadTask) task);
        };
    }

    private Outcome placeInTransaction(Task task) {
        PooledConnection connection = task.boundConnection();
        if (!connection.member().admits(task.workClass(), ctx.now())) {
            return Outcome.SKIPPED;
        }
        task.run(connection.member(), connection);
        return Outcome.TAKEN;
    }

    private Outcome placeOnPrimary(Task task) {
        return primaryUsable() ? start(task, ctx.primary()) : Outcome.STOP;
    }

    private Outcome start(Task task, Member member) {
        if (admission.wouldMissDeadline(task)) {
            admission.refuseTooLate(task);
            return Outcome.TAKEN;
        }
        if (!member.admits(task.workClass(), ctx.now())) {
            return Outcome.STOP;
        }
        PooledConnection connection = ctx.pool().acquire(member);
        if (connection == null) {
            return Outcome.STOP;
        }
        task.run(member, connection);
        return Outcome.TAKEN;
    }

    private Outcome placeRead(ReadTask task) {
        ReadRouter.Route route = router.route(task.need());
        if (route instanceof ReadRouter.Route.Lost) {
            task.positionLost();
            return Outcome.TAKEN;
        }
        if (route instanceof ReadRouter.Route.Primary) {
            return admission.moveToPrimary(task);
        }
        if (route instanceof ReadRouter.Route.Await await) {
            task.awaitReplication(await.until());
            return Outcome.TAKEN;
        }
        return placeOnReplica(task, ((ReadRouter.Route.Replicas) route).candidates());
    }

    private Outcome placeOnReplica(ReadTask task, List<Member> candidates) {
        List<Member> free =
                candidates.stream()
                        .filter(m -> m.admits(task.workClass(), ctx.now()) && ctx.pool().hasIdle(m))
                        .toList();
        if (!free.isEmpty()) {
            return start(
                    task,
                    task.workClass() == WorkClass.LONG ? lastOf(free) : lessLoadedOfTwo(free));
        }
        return mayOverflowToPrimary(task) ? start(task, ctx.primary()) : Outcome.SKIPPED;
    }

    private boolean mayOverflowToPrimary(ReadTask task) {
        return primaryUsable()
                && task.workClass() == WorkClass.SHORT
                && ctx.now() - task.queuedAt() >= OVERFLOW_TO_PRIMARY_AFTER_NANOS
                && admission.queued(Destination.PRIMARY, WorkClass.SHORT) == 0
                && ctx.primary().admits(WorkClass.SHORT, ctx.now())
                && ctx.pool().hasIdle(ctx.primary());
    }

    /** Long reads prefer one replica, so that the others keep their slots for short work. */
    private static Member lastOf(List<Member> members) {
        return members.get(members.size() - 1);
    }

    /** Power of two choices: avoids that all proxies pick the same endpoint. */
    private Member lessLoadedOfTwo(List<Member> members) {
        if (members.size() == 1) {
            return members.get(0);
        }
        RandomGenerator random = ctx.random();
        int first = random.nextInt(members.size());
        int second = random.nextInt(members.size() - 1);
        Member a = members.get(first);
        Member b = members.get(second >= first ? second + 1 : second);
        return a.expectedWaitNanos() <= b.expectedWaitNanos() ? a : b;
    }
}
