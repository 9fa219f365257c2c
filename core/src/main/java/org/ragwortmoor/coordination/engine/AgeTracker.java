package org.ragwortmoor.coordination.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Lineage;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.TermHistory;

/**
 * Bounds the age of data by status rounds.
 *
 * <p>A round sent at local time L in which the primary answered position P under a term that a
 * majority answered as its promised term proves that every write acknowledged before L is at or
 * before P. Data that contains P is therefore at most as old as L. Only the local clock is used.
 */
final class AgeTracker {
    private static final int OPEN_ROUNDS = 16;

    private final int maxSamples;
    private final Deque<Round> open = new ArrayDeque<>();
    private final Deque<Sample> newestFirst = new ArrayDeque<>();

    AgeTracker(int maxSamples) {
        this.maxSamples = maxSamples;
    }

    private record Sample(long sentAt, Position position, TermHistory history) {}

    private static final class Round {
        private final long sentAt;
        private final Map<String, EndpointStatus> answers = new HashMap<>();

        private Round(long sentAt) {
            this.sentAt = sentAt;
        }
    }

    void roundSent(long now) {
        open.addLast(new Round(now));
        if (open.size() > OPEN_ROUNDS) {
            open.removeFirst();
        }
    }

    /** Records an answer to the round that was sent at {@code sentAt}. */
    void answered(long sentAt, String endpoint, EndpointStatus status, int majority) {
        for (Iterator<Round> rounds = open.iterator(); rounds.hasNext(); ) {
            Round round = rounds.next();
            if (round.sentAt == sentAt) {
                round.answers.put(endpoint, status);
                if (complete(round, majority)) {
                    rounds.remove();
                }
                return;
            }
        }
    }

    private boolean complete(Round round, int majority) {
        for (EndpointStatus primary : round.answers.values()) {
            if (!primary.primary() || primary.last().term() != primary.promisedTerm()) {
                continue;
            }
            long promised =
                    round.answers.values().stream()
                            .filter(s -> s.promisedTerm() == primary.promisedTerm())
                            .count();
            if (promised >= majority) {
                add(new Sample(round.sentAt, primary.last(), primary.history()));
                return true;
            }
        }
        return false;
    }

    private void add(Sample sample) {
        Sample newest = newestFirst.peekFirst();
        if (newest != null && newest.sentAt >= sample.sentAt) {
            return;
        }
        if (newest != null && newest.position.equals(sample.position)) {
            newestFirst.removeFirst();
        }
        newestFirst.addFirst(sample);
        if (newestFirst.size() > maxSamples) {
            newestFirst.removeLast();
        }
    }

    /**
     * Returns the time up to which a log that ends at {@code end} is known to be complete.
     *
     * @param history history of a log that contains {@code end}
     * @return a local time, or {@code Long.MIN_VALUE} if no sample applies
     */
    long completeUpTo(Position end, TermHistory history) {
        TermHistory own = history.truncatedTo(end.index());
        for (Sample sample : newestFirst) {
            if (own.relate(end, sample.position) == Lineage.CONTAINED) {
                return sample.sentAt;
            }
        }
        return Long.MIN_VALUE;
    }
}
