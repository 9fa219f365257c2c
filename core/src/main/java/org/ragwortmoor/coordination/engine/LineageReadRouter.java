package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Lineage;
import org.ragwortmoor.state.Position;

/**
 * Routes reads to replicas whose logs contain the required position and are recent enough.
 *
 * <p>A status only selects candidates. The position in the answer is checked again, because a
 * replica can lose a log suffix between its status and the read.
 */
final class LineageReadRouter implements ReadRouter {
    private final EngineContext ctx;

    LineageReadRouter(EngineContext ctx) {
        this.ctx = ctx;
    }

    @Override
    public Route route(Need need) {
        Confirmations confirmations = ctx.confirmations();
        if (confirmations.tracker().relate(need.position()) == Lineage.LOST) {
            return new Route.Lost();
        }
        // Without a confirmed position there is no lower bound for a session without a position.
        boolean unbounded = confirmations.tracker().confirmed().equals(Position.ZERO);
        if (need.level() == ReadLevel.STRONG || unbounded) {
            return new Route.Primary();
        }
        List<Member> candidates = new ArrayList<>();
        for (Member member : ctx.members().values()) {
            if (!ctx.isPrimary(member) && qualifies(member, need)) {
                candidates.add(member);
            }
        }
        if (!candidates.isEmpty()) {
            return new Route.Replicas(candidates);
        }
        return fallback(need);
    }

    private boolean qualifies(Member member, Need need) {
        if (!usable(member)) {
            return false;
        }
        EndpointStatus status = member.status();
        if (!status.contains(need.position())
                || ctx.confirmations().tracker().relate(status.last()) == Lineage.LOST) {
            return false;
        }
        if (need.level() != ReadLevel.AGE) {
            return true;
        }
        long completeUpTo =
                ctx.confirmations().ages().completeUpTo(status.last(), status.history());
        return completeUpTo != Long.MIN_VALUE
                && ctx.now() + (long) member.roundTripNanos() - completeUpTo <= need.maxAgeNanos();
    }

    private boolean usable(Member member) {
        return member.status() != null
                && !member.leaving()
                && member.silentNanos(ctx.now()) < ctx.settings().silentAfterNanos() / 2;
    }

    /**
     * Chooses between waiting for replication and reading from the primary, by the expected
     * catch-up time of the fastest replica.
     */
    private Route fallback(Need need) {
        Member primary = ctx.primary();
        if (need.level() != ReadLevel.SESSION || !need.mayWait()) {
            return new Route.Primary();
        }
        double lag = Double.MAX_VALUE;
        for (Member member : ctx.members().values()) {
            if (!ctx.isPrimary(member) && usable(member)) {
                lag = Math.min(lag, member.lagNanos() + member.roundTripNanos());
            }
        }
        if (lag == Double.MAX_VALUE) {
            return new Route.Primary();
        }
        double primaryCost =
                primary == null ? 0 : primary.roundTripNanos() + ctx.admission().primaryWaitNanos();
        double bound = ctx.settings().waitFactor() * Math.max(primaryCost, 1);
        if (primary != null && lag > bound) {
            return new Route.Primary();
        }
        return new Route.Await(ctx.now() + (long) Math.min(2 * lag, Math.max(lag, bound)));
    }
}
