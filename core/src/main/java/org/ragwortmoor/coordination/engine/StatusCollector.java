package org.ragwortmoor.coordination.engine;

import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Sends status requests: regular rounds, awaits for replication and fresh ones for strong reads.
 *
 * <p>Awaits and fresh requests are coalesced: at most one of each is outstanding per endpoint, and
 * the next one serves everything that came meanwhile. One answer thus confirms many writes.
 */
final class StatusCollector {
    /** Pause before an await is sent again that ended without progress. */
    private static final long AWAIT_PAUSE_NANOS = 10_000_000L;

    private final EngineContext ctx;
    private final Map<Member, Slot> awaits = new HashMap<>();
    private final Map<Member, Slot> fresh = new HashMap<>();
    private boolean started;

    StatusCollector(EngineContext ctx) {
        this.ctx = ctx;
    }

    private static final class Slot {
        private long outstanding;
        private boolean again;
    }

    /** Starts the regular rounds. */
    void start() {
        if (!started) {
            started = true;
            round();
        }
    }

    private void round() {
        long sentAt = ctx.now();
        ctx.confirmations().ages().roundSent(sentAt);
        for (Member member : ctx.members().values()) {
            send(
                    member,
                    Position.ZERO,
                    0,
                    status ->
                            ctx.confirmations()
                                    .ages()
                                    .answered(
                                            sentAt, member.name(), status, ctx.view().majority()));
        }
        ctx.after(ctx.settings().statusIntervalNanos(), this::round);
    }

    /** Receives a status; null if the connection was lost. */
    private interface StatusHandler {
        void status(EndpointStatus status);
    }

    private long send(Member member, Position awaited, long waitNanos, StatusHandler handler) {
        PooledConnection connection = ctx.pool().anyOpen(member);
        if (connection == null) {
            return 0;
        }
        return ctx.pool()
                .send(
                        connection,
                        new EndpointCall.Status(awaited, waitNanos / 1000),
                        new Exchange.Handler() {
                            @Override
                            public void answered(EndpointAnswer answer) {
                                if (answer instanceof EndpointAnswer.StatusReport report) {
                                    handler.status(report.status());
                                }
                            }

                            @Override
                            public void lost(String reason) {
                                // The time limit of the slot frees it.
                            }
                        });
    }

    /** Takes every status that an endpoint reports, whichever call it answers. */
    void reported(Member member, Exchange exchange, EndpointStatus status) {
        member.reported(status, exchange.sequence());
        boolean held =
                exchange.call() instanceof EndpointCall.Status call && call.awaited().index() > 0;
        if (!held) {
            member.roundTrip(ctx.now() - exchange.sentAt());
        }
        ctx.confirmations()
                .tracker()
                .update(
                        member.name(),
                        status,
                        ctx.view().majority(),
                        ctx.view().term(),
                        ctx.primaryName());
        ctx.confirmations().settle();
    }

    void connected(Member member) {
        await(member);
    }

    /** Makes the replicas report as soon as they receive what is waited for. */
    void awaitReplicas() {
        for (Member member : ctx.members().values()) {
            await(member);
        }
    }

    private void await(Member member) {
        Slot slot = awaits.computeIfAbsent(member, m -> new Slot());
        if (slot.outstanding != 0 || ctx.isPrimary(member)) {
            return;
        }
        Position awaited = ctx.confirmations().lowestMissing(member);
        if (awaited == null) {
            return;
        }
        long sentAt = ctx.now();
        slot.outstanding =
                send(
                        member,
                        awaited,
                        ctx.settings().awaitNanos(),
                        status -> awaitAnswered(member, slot, awaited, sentAt, status));
        expire(slot, slot.outstanding, ctx.settings().awaitNanos(), () -> await(member));
    }

    private void awaitAnswered(
            Member member, Slot slot, Position awaited, long sentAt, EndpointStatus status) {
        slot.outstanding = 0;
        if (status.contains(awaited)) {
            double took = ctx.now() - sentAt - member.roundTripNanos();
            member.caughtUpAfter((long) Math.max(0, took));
            await(member);
        } else {
            ctx.after(AWAIT_PAUSE_NANOS, () -> await(member));
        }
    }

    /** Frees a slot whose answer does not come, for example on a silent connection. */
    private void expire(Slot slot, long outstanding, long nanos, Runnable next) {
        if (outstanding != 0) {
            ctx.after(
                    nanos + ctx.settings().statusIntervalNanos(),
                    () -> {
                        if (slot.outstanding == outstanding) {
                            slot.outstanding = 0;
                            next.run();
                        }
                    });
        }
    }

    /** Asks every replica for a status that is newer than this moment. */
    void refresh() {
        for (Member member : ctx.members().values()) {
            if (!ctx.isPrimary(member)) {
                refresh(member);
            }
        }
    }

    private void refresh(Member member) {
        Slot slot = fresh.computeIfAbsent(member, m -> new Slot());
        if (slot.outstanding != 0) {
            slot.again = true;
            return;
        }
        slot.again = false;
        slot.outstanding = send(member, Position.ZERO, 0, status -> refreshed(member, slot));
        expire(slot, slot.outstanding, 0, () -> refresh(member));
    }

    private void refreshed(Member member, Slot slot) {
        slot.outstanding = 0;
        if (slot.again) {
            refresh(member);
        }
    }

    /** Drops what is kept for members that left the group. */
    void retainMembers() {
        awaits.keySet().retainAll(ctx.members().values());
        fresh.keySet().retainAll(ctx.members().values());
    }
}
