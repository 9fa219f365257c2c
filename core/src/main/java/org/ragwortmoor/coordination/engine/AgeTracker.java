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
 * Computes upper bounds of data staleness from rounds of status requests.
 *
 * <p>Suppose that in a round sent at local time L the primary reports position P in a term, and a
 * majority reports that term as its promised term. Every write acknowledged before L is then at or
 * before P, so data that contains P is complete up to L. Only the local clock is used.
 */
final class AgeTracker {
    private static final int MAX_OPEN_ROUNDS = 16;

    private final int maxSamples;
    private final Deque<Round> openRounds = new ArrayDeque<>();
    private final Deque<Sample> samplesNewestFirst = new ArrayDeque<>();

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

    void recordRoundSent(long now) {
        openRounds.addLast(new Round(now));
        if (openRounds.size() > MAX_OPEN_ROUNDS) {
            openRounds.removeFirst();
        }
    }

    /** Records a status answer to the round sent at {@code sentAt}. */
    void recordAnswer(long sentAt, String endpoint, EndpointStatus status, int majority) {
        for (Iterator<Round> rounds = openRounds.iterator(); rounds.hasNext(); ) {
            Round round = rounds.next();
            if (round.sentAt == sentAt) {
                round.answers.put(endpoint, status);
                if (trySample(round, majority)) {
                    rounds.remove();
                }
                return;
            }
        }
    }

    private boolean trySample(Round round, int majority) {
        for (EndpointStatus primary : round.answers.values()) {
            if (!primary.primary() || primary.last().term() != primary.promisedTerm()) {
                continue;
            }
            long promisedCount =
                    round.answers.values().stream()
                            .filter(s -> s.promisedTerm() == primary.promisedTerm())
                            .count();
            if (promisedCount >= majority) {
                add(new Sample(round.sentAt, primary.last(), primary.history()));
                return true;
            }
        }
        return false;
    }

    private void add(Sample sample) {
        Sample newest = samplesNewestFirst.peekFirst();
        if (newest != null && newest.sentAt >= sample.sentAt) {
            return;
        }
        if (newest != null && newest.position.equals(sample.position)) {
            samplesNewestFirst.removeFirst();
        }
        samplesNewestFirst.addFirst(sample);
        if (samplesNewestFirst.size() > maxSamples) {
            samplesNewestFirst.removeLast();
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
        for (Sample sample : samplesNewestFirst) {
            if (own.relate(end, sample.position) == Lineage.CONTAINED) {
                return sample.sentAt;
            }
        }
        return Long.MIN_VALUE;
    }
}
