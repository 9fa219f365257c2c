package org.ragwortmoor.state;

import java.util.List;

/**
 * The terms that wrote to a log, in ascending order of term and index.
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

    /** Returns the term that owns {@code index}, or 0 if the index precedes every start. */
    public long termAt(long index) {
        for (int i = starts.size() - 1; i >= 0; i--) {
            if (starts.get(i).index() <= index) {
                return starts.get(i).term();
            }
        }
        return 0;
    }

    /** Returns whether a log with this history that ends at {@code last} has {@code position}. */
    public boolean contains(Position last, Position position) {
        return relate(last, position) == Lineage.CONTAINED;
    }

    /**
     * Relates {@code position} to a log with this history that ends at {@code last}.
     *
     * <p>An index alone proves nothing: after a promotion another entry may stand at the same
     * index.
     */
    public Lineage relate(Position last, Position position) {
        if (position.index() == 0) {
            return Lineage.CONTAINED;
        }
        if (position.index() <= last.index()) {
            return relateOwned(termAt(position.index()), position.term());
        }
        return last.term() > position.term() ? Lineage.LOST : Lineage.NOT_YET;
    }

    /**
     * An entry of a later term may still replace the suffix, so only an older owner is undecided.
     */
    private static Lineage relateOwned(long owner, long wanted) {
        if (owner == wanted) {
            return Lineage.CONTAINED;
        }
        return owner > wanted ? Lineage.LOST : Lineage.NOT_YET;
    }

    /** Returns this history with the start of a further term appended. */
    public TermHistory with(TermStart start) {
        List<TermStart> extended = new java.util.ArrayList<>(starts);
        extended.add(start);
        return new TermHistory(extended);
    }

    /** Returns this history without the starts behind {@code lastIndex}. */
    public TermHistory truncatedTo(long lastIndex) {
        return new TermHistory(starts.stream().filter(s -> s.index() <= lastIndex).toList());
    }
}
