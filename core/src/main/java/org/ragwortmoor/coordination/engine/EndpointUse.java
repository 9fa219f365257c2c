package org.ragwortmoor.coordination.engine;

import java.util.Map;
import java.util.TreeMap;
import org.ragwortmoor.coordination.engine.PooledConnection.State;

/** Derives what is reported about the use of an endpoint. */
record EndpointUse(EngineContext ctx, Member member) {
    int open() {
        return (int) ctx.pool().of(member).stream().filter(PooledConnection::open).count();
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

    /** Connections in use, plus those that waiting requests could use. */
    int wanted() {
        int used = open() - idle();
        int waiting = ctx.admission().queued(Lane.REPLICA, WorkClass.SHORT);
        int replicas = Math.max(1, ctx.members().size() - 1);
        if (ctx.isPrimary(member)) {
            waiting = ctx.admission().queued(Lane.PRIMARY, WorkClass.SHORT);
            replicas = 1;
        }
        return Math.max(1, used + (waiting + replicas - 1) / replicas);
    }

    /** Long reads wait for the replica that serves them first, long writes for the primary. */
    int longWanted() {
        if (ctx.isPrimary(member)) {
            return ctx.admission().queued(Lane.PRIMARY, WorkClass.LONG);
        }
        return member.name().equals(preferredReplica())
                ? ctx.admission().queued(Lane.REPLICA, WorkClass.LONG)
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
