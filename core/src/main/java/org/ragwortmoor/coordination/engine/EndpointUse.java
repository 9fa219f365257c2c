package org.ragwortmoor.coordination.engine;

import java.util.Map;
import java.util.TreeMap;
import org.ragwortmoor.coordination.engine.PooledConnection.State;

/** Computes the reported usage figures of one endpoint. */
record EndpointUse(EngineContext ctx, Member member) {
    int open() {
        return (int)
                ctx.pool().connectionsTo(member).stream().filter(PooledConnection::isOpen).count();
    }

    int opening() {
        return ctx.pool().count(member, State.OPENING);
    }

    int idle() {
        return ctx.pool().count(member, State.IDLE);
    }

    long ageMillis() {
        if (member.status() == null) {
            return -1;
        }
        long complete =
                ctx.confirmations()
                        .ages()
                        .completeUpTo(member.status().last(), member.status().history());
        return complete == Long.MIN_VALUE ? -1 : (ctx.now() - complete) / 1_000_000;
    }

    /** Returns the connections in use plus those that queued requests could use, at least 1. */
    int wanted() {
        int used = open() - idle();
        int waiting = ctx.admission().queued(Destination.REPLICA, WorkClass.SHORT);
        int replicas = Math.max(1, ctx.members().size() - 1);
        if (ctx.isPrimary(member)) {
            waiting = ctx.admission().queued(Destination.PRIMARY, WorkClass.SHORT);
            replicas = 1;
        }
        return Math.max(1, used + (waiting + replicas - 1) / replicas);
    }

    /**
     * Returns the queued long requests attributed to this endpoint: long writes to the primary,
     * long reads to the replica preferred for them.
     */
    int longWanted() {
        if (ctx.isPrimary(member)) {
            return ctx.admission().queued(Destination.PRIMARY, WorkClass.LONG);
        }
        return member.name().equals(preferredReplica())
                ? ctx.admission().queued(Destination.REPLICA, WorkClass.LONG)
                : 0;
    }

    private String preferredReplica() {
        TreeMap<String, Member> replicas = new TreeMap<>();
        for (Map.Entry<String, Member> entry : ctx.members().entrySet()) {
            if (!ctx.isPrimary(entry.getValue()) && !entry.getValue().leaving()) {
                replicas.put(entry.getKey(), entry.getValue());
            }
        }
        return replicas.isEmpty() ? "" : replicas.lastKey();
    }
}
