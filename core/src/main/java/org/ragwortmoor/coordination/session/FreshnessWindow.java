package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.ragwortmoor.state.Position;

/**
 * Positions of a group's log at which the leader is known to have been, with the time before which
 * every acknowledged commit is contained in them.
 *
 * <p>A proof is an answer that only the leader gives. Everything that was acknowledged before the
 * question was sent is at or before the position in the answer. A read that may miss commits
 * younger than S needs a position whose question was sent at most S before the read; the oldest
 * such position lets the most replicas answer.
 */
final class FreshnessWindow {
    private final Deque<Proof> proofs = new ArrayDeque<>();

    /**
     * A proof.
     *
     * @param askedAt time of the question, in nanoseconds of the monotonic clock
     * @param clockOffset time of day less the monotonic clock at the question, in milliseconds
     */
    private record Proof(Position position, long askedAt, long clockOffset) {}

    /** Adds a proof; {@code now} only limits the memory. */
    void add(Position position, long askedAt, long clockOffset, long now) {
        proofs.addLast(new Proof(position, askedAt, clockOffset));
        while (now - proofs.peekFirst().askedAt() > SessionSettings.PROOF_MEMORY) {
            proofs.removeFirst();
        }
    }

    /**
     * Returns the position that a read must see.
     *
     * @param since every commit acknowledged before this time must be seen, in nanoseconds
     * @param clockOffset present difference of the clocks, in milliseconds. The monotonic clock
     *     stands still while the machine is suspended, which the time of day shows: proofs of
     *     before are then of unknown age.
     */
    Option<Position> required(long since, long clockOffset) {
        for (Iterator<Proof> i = proofs.iterator(); i.hasNext(); ) {
            Proof proof = i.next();
            boolean sameClock =
                    Math.abs(proof.clockOffset() - clockOffset) < SessionSettings.SUSPENDED_MILLIS;
            if (proof.askedAt() - since >= 0 && sameClock) {
                return Option.some(proof.position());
            }
        }
        return Option.none();
    }

    /** Returns the time of the newest question that the leader has answered. */
    Option<Long> newest() {
        return Option.of(proofs.peekLast()).map(Proof::askedAt);
    }
}
