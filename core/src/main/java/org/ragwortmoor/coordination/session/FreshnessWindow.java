package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.ragwortmoor.state.Position;

/**
 * Known positions of the leader in a group's log, each with the time up to which it covers every
 * acknowledged commit.
 *
 * <p>A proof is an answer that only the leader gives. Every commit acknowledged before the request
 * was sent is at or before the position in the answer. A read with a maximum staleness of S needs a
 * position whose request was sent at most S before the read. The oldest such position is chosen,
 * because the most replicas have reached it.
 */
final class FreshnessWindow {
    private final Deque<Proof> proofs = new ArrayDeque<>();

    /**
     * A proof of leadership.
     *
     * @param requestedAt time at which the request was sent, in nanoseconds of the monotonic clock
     * @param clockOffset wall clock minus monotonic clock at that time, in milliseconds
     */
    private record Proof(Position position, long requestedAt, long clockOffset) {}

    /** Adds a proof and removes those older than the retention time. */
    void add(Position position, long requestedAt, long clockOffset, long now) {
        proofs.addLast(new Proof(position, requestedAt, clockOffset));
        while (now - proofs.peekFirst().requestedAt() > SessionSettings.PROOF_RETENTION_NANOS) {
            proofs.removeFirst();
        }
    }

    /**
     * Returns the position that a read must see, if one is known.
     *
     * @param since every commit acknowledged before this time must be seen, in nanoseconds
     * @param clockOffset current wall clock minus monotonic clock, in milliseconds. The monotonic
     *     clock stops while the VM is suspended, but the wall clock does not. If the offset has
     *     changed, the age of older proofs is unknown and they are ignored.
     */
    Option<Position> requiredPosition(long since, long clockOffset) {
        for (Iterator<Proof> i = proofs.iterator(); i.hasNext(); ) {
            Proof proof = i.next();
            boolean sameClock =
                    Math.abs(proof.clockOffset() - clockOffset)
                            < SessionSettings.SUSPENSION_THRESHOLD_MILLIS;
            if (proof.requestedAt() - since >= 0 && sameClock) {
                return Option.some(proof.position());
            }
        }
        return Option.none();
    }

    /** Returns the time at which the newest answered request to the leader was sent. */
    Option<Long> newestRequestedAt() {
        return Option.of(proofs.peekLast()).map(Proof::requestedAt);
    }
}
