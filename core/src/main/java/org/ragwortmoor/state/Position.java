package org.ragwortmoor.state;

/**
 * A position in the log of a group, identified by the term and index of its entry.
 *
 * <p>Two positions are comparable only within one term history. The natural order (term, then
 * index) ranks last log positions when a primary is elected; to decide whether a log contains a
 * position use {@link TermHistory#contains}.
 *
 * @param term term of the primary that wrote the entry; 0 before the first promotion
 * @param index index of the entry in the log, starting at 1; 0 for an empty log
 */
public record Position(long term, long index) implements Comparable<Position> {
    /** The position of an empty log; every log contains it. */
    public static final Position ZERO = new Position(0, 0);

    /** Validates that term and index are non-negative. */
    public Position {
        if (term < 0 || index < 0) {
            throw new IllegalArgumentException("term and index must not be negative");
        }
    }

    @Override
    public int compareTo(Position other) {
        int byTerm = Long.compare(term, other.term);
        return byTerm != 0 ? byTerm : Long.compare(index, other.index);
    }

    @Override
    public String toString() {
        return term + ":" + index;
    }
}
