package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Lineage;
import org.ragwortmoor.state.Position;

/** Requests that wait until a position is held by a majority or contained in a replica. */
final class Confirmations {
    private static final double SMOOTHING = 0.1;

    private final EngineContext ctx;
    private final ConfirmationTracker tracker = new ConfirmationTracker();
    private final AgeTracker ages;
    private List<Wait> waits = new ArrayList<>();
    private boolean settling;
    private double confirmNanos;

    Confirmations(EngineContext ctx) {
        this.ctx = ctx;
        this.ages = new AgeTracker(ctx.settings().maxSamples());
    }

    /** State of a wait. */
    enum Verdict {
        OPEN,
        REACHED,
        LOST
    }

    /** Receives the end of a wait; at most one call. */
    interface Listener {
        void reached();

        /** The position was discarded by a promotion, or the term ended. */
        void lost();
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

        abstract Verdict verdict();

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

    /** Learns how long a write waited for its confirmation. */
    void confirmedAfter(long nanos) {
        confirmNanos += SMOOTHING * (nanos - confirmNanos);
    }

    /** Returns a time within which most writes are confirmed. */
    long expectedNanos() {
        return (long) (2 * confirmNanos);
    }

    void forget(String endpoint) {
        tracker.forget(endpoint);
    }

    /** Waits until a majority holds {@code position} under one term. */
    void awaitMajority(Position position, Listener listener) {
        add(
                new Wait(position, listener) {
                    @Override
                    Verdict verdict() {
                        Lineage relation = tracker.relate(position);
                        if (relation == Lineage.CONTAINED) {
                            return Verdict.REACHED;
                        }
                        return relation == Lineage.LOST ? Verdict.LOST : Verdict.OPEN;
                    }
                });
    }

    /**
     * Waits until a majority holds what a strong read returned, seen in answers to requests that
     * were sent after the read.
     *
     * <p>The endpoint that executed the read counts: its log ended at {@code position} after the
     * read was sent. Older status answers prove nothing, because the primary may have been replaced
     * after them.
     */
    void awaitFreshMajority(Position position, Member reader, long sequence, Listener listener) {
        add(
                new Wait(position, listener) {
                    @Override
                    Verdict verdict() {
                        if (position.term() < ctx.view().term()) {
                            return Verdict.LOST;
                        }
                        int holders = 1;
                        for (Member member : ctx.members().values()) {
                            if (member != reader && holdsFresh(member, position, sequence)) {
                                holders++;
                            }
                        }
                        boolean enough = holders >= ctx.view().majority();
                        return enough ? Verdict.REACHED : Verdict.OPEN;
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
                    Verdict verdict() {
                        boolean contained =
                                ctx.members().values().stream()
                                        .filter(m -> !ctx.isPrimary(m) && m.status() != null)
                                        .anyMatch(m -> m.status().contains(position));
                        return contained ? Verdict.REACHED : Verdict.OPEN;
                    }
                });
    }

    private Wait add(Wait wait) {
        waits.add(wait);
        settle();
        if (wait.verdict() == Verdict.OPEN) {
            ctx.statuses().awaitReplicas();
        }
        return wait;
    }

    /** Ends every wait whose verdict is known; listeners may add further waits. */
    void settle() {
        if (settling) {
            return;
        }
        settling = true;
        boolean progress = true;
        while (progress) {
            progress = false;
            List<Wait> current = waits;
            waits = new ArrayList<>();
            for (Wait wait : current) {
                Verdict verdict = wait.cancelled ? Verdict.OPEN : wait.verdict();
                if (verdict == Verdict.OPEN) {
                    if (!wait.cancelled) {
                        waits.add(wait);
                    }
                    continue;
                }
                progress = true;
                if (verdict == Verdict.REACHED) {
                    wait.listener.reached();
                } else {
                    wait.listener.lost();
                }
            }
        }
        settling = false;
    }

    /** Returns the lowest awaited position that the replica may still receive, or null. */
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
