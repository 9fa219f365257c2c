package org.ragwortmoor.coordination.engine;

import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Sends status requests: periodic rounds, long polls that await replication, and fresh requests for
 * strong reads.
 *
 * <p>Awaits and fresh requests are coalesced: at most one of each is outstanding per endpoint, and
 * the next one covers everything that arrived in the meantime. One answer can thus confirm many
 * writes (group commit).
 */
final class StatusCollector {
    /** Delay before an await that ended without progress is sent again. */
    private static final long AWAIT_RETRY_DELAY_NANOS = 10_000_000L;

    private final EngineContext ctx;
    private final Map<Member, PendingRequest> awaitRequests = new HashMap<>();
    private final Map<Member, PendingRequest> freshRequests = new HashMap<>();
    private boolean started;

    StatusCollector(EngineContext ctx) {
        this.ctx = ctx;
    }

    private static final class PendingRequest {
        private long sequence;
        private boolean repeat;
    }

    /** Starts the periodic rounds; later calls have no effect. */
    void start() {
        if (!started) {
            started = true;
            sendRound();
        }
    }

    private void sendRound() {
        long sentAt = ctx.now();
        ctx.confirmations().ages().recordRoundSent(sentAt);
        for (Member member : ctx.members().values()) {
            send(
                    member,
                    Position.ZERO,
                    0,
                    status ->
                            ctx.confirmations()
                                    .ages()
                                    .recordAnswer(
                                            sentAt, member.name(), status, ctx.view().majority()));
        }
        ctx.after(ctx.settings().statusIntervalNanos(), this::sendRound);
    }

    /** Receives the status that answers a request; not called if the connection is lost. */
    private interface StatusHandler {
        void onStatus(EndpointStatus status);
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
                            public void onAnswer(EndpointAnswer answer) {
                                if (answer instanceof EndpointAnswer.StatusReport report) {
                                    handler.onStatus(report.status());
                                }
                            }

                            @Override
                            public void onConnectionLost(String reason) {
                                // The pending request is released by its timeout.
                            }
                        });
    }

    /** Records a status reported in the answer to any call. */
    void recordStatus(Member member, Exchange exchange, EndpointStatus status) {
        member.updateStatus(status, exchange.sequence());
        boolean held =
                exchange.call() instanceof EndpointCall.Status call && call.awaited().index() > 0;
        if (!held) {
            member.recordRoundTrip(ctx.now() - exchange.sentAt());
        }
        ctx.confirmations()
                .tracker()
                .update(
                        member.name(),
                        status,
                        ctx.view().majority(),
                        ctx.view().term(),
                        ctx.primaryName());
        ctx.confirmations().completeWaits();
    }

    void onConnected(Member member) {
        sendAwait(member);
    }

    /** Makes the replicas report when they receive the lowest awaited position that they lack. */
    void awaitReplicas() {
        for (Member member : ctx.members().values()) {
            sendAwait(member);
        }
    }

    private void sendAwait(Member member) {
        PendingRequest pending = awaitRequests.computeIfAbsent(member, m -> new PendingRequest());
        if (pending.sequence != 0 || ctx.isPrimary(member)) {
            return;
        }
        Position awaited = ctx.confirmations().lowestMissing(member);
        if (awaited == null) {
            return;
        }
        long sentAt = ctx.now();
        pending.sequence =
                send(
                        member,
                        awaited,
                        ctx.settings().awaitNanos(),
                        status -> onAwaitAnswer(member, pending, awaited, sentAt, status));
        releaseAfterTimeout(
                pending, pending.sequence, ctx.settings().awaitNanos(), () -> sendAwait(member));
    }

    private void onAwaitAnswer(
            Member member,
            PendingRequest pending,
            Position awaited,
            long sentAt,
            EndpointStatus status) {
        pending.sequence = 0;
        if (status.contains(awaited)) {
            double catchUpNanos = ctx.now() - sentAt - member.roundTripNanos();
            member.recordCatchUpTime((long) Math.max(0, catchUpNanos));
            sendAwait(member);
        } else {
            ctx.after(AWAIT_RETRY_DELAY_NANOS, () -> sendAwait(member));
        }
    }

    /** Releases a pending request without an answer, for example on an unresponsive connection. */
    private void releaseAfterTimeout(
            PendingRequest pending, long sequence, long nanos, Runnable retry) {
        if (sequence != 0) {
            ctx.after(
                    nanos + ctx.settings().statusIntervalNanos(),
                    () -> {
                        if (pending.sequence == sequence) {
                            pending.sequence = 0;
                            retry.run();
                        }
                    });
        }
    }

    /** Requests a status from every replica that reflects its state after this call. */
    void requestFresh() {
        for (Member member : ctx.members().values()) {
            if (!ctx.isPrimary(member)) {
                requestFresh(member);
            }
        }
    }

    private void requestFresh(Member member) {
        PendingRequest pending = freshRequests.computeIfAbsent(member, m -> new PendingRequest());
        if (pending.sequence != 0) {
            pending.repeat = true;
            return;
        }
        pending.repeat = false;
        pending.sequence = send(member, Position.ZERO, 0, status -> onFreshAnswer(member, pending));
        releaseAfterTimeout(pending, pending.sequence, 0, () -> requestFresh(member));
    }

    private void onFreshAnswer(Member member, PendingRequest pending) {
        pending.sequence = 0;
        if (pending.repeat) {
            requestFresh(member);
        }
    }

    /** Removes the pending requests of former members. */
    void retainMembers() {
        awaitRequests.keySet().retainAll(ctx.members().values());
        freshRequests.keySet().retainAll(ctx.members().values());
    }
}
