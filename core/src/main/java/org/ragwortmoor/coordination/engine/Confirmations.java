package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Lineage;
import org.ragwortmoor.state.Position;

/** Tracks requests that wait until a majority holds a position or a replica contains it. */
final class Confirmations {
    private static final double SMOOTHING = 0.1;

    private final EngineContext ctx;
    private final ConfirmationTracker tracker = new ConfirmationTracker();
    private final AgeTracker ages;
    private List<Wait> waits = new ArrayList<>();
    private boolean completing;
    private double averageConfirmationNanos;

    Confirmations(EngineContext ctx) {
        this.ctx = ctx;
        this.ages = new AgeTracker(ctx.settings().maxSamples());
    }

    /** State of a wait. */
    enum WaitState {
        PENDING,
        REACHED,
        LOST
    }

    /** Notified once when a wait ends, unless it was cancelled. */
    interface Listener {
        void onReached();

        /** A promotion discarded the position, or its term ended. */
        void onLost();
    }

    /** A request that waits for a position. */
    abstract static class Wait {
        private final Position position;
        private final Listener listener;
        private boolean cancelled;

        private Wait(Position position, Listener listener) {
            this.position = position;
            this.listener = listener;
        }

        abstract WaitState state();

        void cancel() {
            cancelled = true;
        }
    }

    ConfirmationTracker tracker() {
        return tracker;
    }

    AgeTracker ages() {
        return ages;
    }

    /** Records the time that a write waited for its confirmation. */
    void recordConfirmationTime(long nanos) {
        averageConfirmationNanos += SMOOTHING * (nanos - averageConfirmationNanos);
    }

    /** Returns a time within which most writes are confirmed: twice the moving average. */
    long expectedConfirmationNanos() {
        return (long) (2 * averageConfirmationNanos);
    }

    void forget(String endpoint) {
        tracker.forget(endpoint);
    }

    /** Waits until a majority holds {@code position} in one term. */
    void awaitMajority(Position position, Listener listener) {
        add(
                new Wait(position, listener) {
                    @Override
                    WaitState state() {
                        Lineage relation = tracker.relate(position);
                        if (relation == Lineage.CONTAINED) {
                            return WaitState.REACHED;
                        }
                        return relation == Lineage.LOST ? WaitState.LOST : WaitState.PENDING;
                    }
                });
    }

    /**
     * Waits until answers to requests sent after a strong read show that a majority holds {@code
     * position}.
     *
     * <p>The endpoint that executed the read counts, because its log ended at {@code position}
     * after the read was sent. Earlier status answers are not evidence, because the primary may
     * have been replaced since.
     *
     * @param sequence sequence number of the call that sent the read
     */
    void awaitFreshMajority(Position position, Member reader, long sequence, Listener listener) {
        add(
                new Wait(position, listener) {
                    @Override
                    WaitState state() {
                        if (position.term() < ctx.view().term()) {
                            return WaitState.LOST;
                        }
                        int holders = 1;
                        for (Member member : ctx.members().values()) {
                            if (member != reader && holdsFresh(member, position, sequence)) {
                                holders++;
                            }
                        }
                        boolean enough = holders >= ctx.view().majority();
                        return enough ? WaitState.REACHED : WaitState.PENDING;
                    }
                });
    }

    private static boolean holdsFresh(Member member, Position position, long sequence) {
        EndpointStatus status = member.status();
        return status != null
                && member.statusSequence() > sequence
                && status.holds(position, position.term());
    }

    /** Waits until a replica contains {@code position}. */
    Wait awaitReplica(Position position, Listener listener) {
        return add(
                new Wait(position, listener) {
                    @Override
                    WaitState state() {
                        boolean contained =
                                ctx.members().values().stream()
                                        .filter(m -> !ctx.isPrimary(m) && m.status() != null)
                                        .anyMatch(m -> m.status().contains(position));
                        return contained ? WaitState.REACHED : WaitState.PENDING;
                    }
                });
    }

    private Wait add(Wait wait) {
        waits.add(wait);
        completeWaits();
        if (wait.state() == WaitState.PENDING) {
            ctx.statuses().awaitReplicas();
        }
        return wait;
    }

    /** Ends every wait that is decided. Listeners may add further waits. */
    void completeWaits() {
        if (completing) {
            return;
        }
        completing = true;
        boolean progress = true;
        while (progress) {
            progress = false;
            List<Wait> current = waits;
            waits = new ArrayList<>();
            for (Wait wait : current) {
                WaitState state = wait.cancelled ? WaitState.PENDING : wait.state();
                if (state == WaitState.PENDING) {
                    if (!wait.cancelled) {
                        waits.add(wait);
                    }
                    continue;
                }
                progress = true;
                if (state == WaitState.REACHED) {
                    wait.listener.onReached();
                } else {
                    wait.listener.onLost();
                }
            }
        }
        completing = false;
    }

    /** Returns the lowest awaited position that the replica can still receive, or null. */
    Position lowestMissing(Member replica) {
        EndpointStatus status = replica.status();
        Position lowest = null;
        for (Wait wait : waits) {
            boolean missing =
                    !wait.cancelled
                            && (status == null
                                    || status.history().relate(status.last(), wait.position)
                                            == Lineage.NOT_YET);
            if (missing && (lowest == null || wait.position.index() < lowest.index())) {
                lowest = wait.position;
            }
        }
        return lowest;
    }
}
