package org.ragwortmoor.state;

import java.util.List;

/**
 * The terms that wrote to a log, in ascending order of both term and index.
 *
 * @param starts first entry of each term
 */
public record TermHistory(List<TermStart> starts) {
    /** The history of an empty log. */
    public static final TermHistory EMPTY = new TermHistory(List.of());

    /** Validates the order and copies the list. */
    public TermHistory {
        starts = List.copyOf(starts);
        for (int i = 1; i < starts.size(); i++) {
            TermStart before = starts.get(i - 1);
            TermStart current = starts.get(i);
            if (current.term() <= before.term() || current.index() <= before.index()) {
                throw new IllegalArgumentException("term starts must ascend: " + starts);
            }
        }
    }

    /** Returns the term that wrote the entry at {@code index}, or 0 if it precedes every start. */
    public long termAt(long index) {
        for (int i = starts.size() - 1; i >= 0; i--) {
            if (starts.get(i).index() <= index) {
                return starts.get(i).term();
            }
        }
        return 0;
    }

    /**
     * Returns whether a log with this history that ends at {@code last} contains {@code position}.
     */
    public boolean contains(Position last, Position position) {
        return relate(last, position) == Lineage.CONTAINED;
    }

    /**
     * Determines whether a log with this history that ends at {@code last} contains {@code
     * position}.
     *
     * <p>Comparing indexes is not sufficient: after a promotion, a different entry may have the
     * same index.
     */
    public Lineage relate(Position last, Position position) {
        if (position.index() == 0) {
            return Lineage.CONTAINED;
        }
        if (position.index() <= last.index()) {
            return relateToOwner(termAt(position.index()), position.term());
        }
        return last.term() > position.term() ? Lineage.LOST : Lineage.NOT_YET;
    }

    /**
     * If the entry at the index was written by a lower term, a later promotion may still replace it
     * by the entry of {@code term}.
     */
    private static Lineage relateToOwner(long owner, long term) {
        if (owner == term) {
            return Lineage.CONTAINED;
        }
        return owner > term ? Lineage.LOST : Lineage.NOT_YET;
    }

    /** Returns this history with the start of another term appended. */
    public TermHistory with(TermStart start) {
        List<TermStart> extended = new java.util.ArrayList<>(starts);
        extended.add(start);
        return new TermHistory(extended);
    }

    /** Returns this history without the terms that start after {@code lastIndex}. */
    public TermHistory truncatedTo(long lastIndex) {
        return new TermHistory(starts.stream().filter(s -> s.index() <= lastIndex).toList());
    }
}
