package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.Position;

/**
 * Computes the log position up to which a server must have received the log to hold every
 * acknowledged commit.
 *
 * <p>An acknowledged commit is held by the primary that acknowledged it and by {@code syncReplicas}
 * replicas. If at most {@code syncReplicas} of all servers that may hold commits do not answer, one
 * of the others therefore holds the newest acknowledged commit. That applies to every selection of
 * {@code holders - syncReplicas} servers, so the selection with the lowest positions gives the
 * bound. The positions must not change any more: replicas are suspended, a primary has stepped
 * down.
 */
final class AcknowledgedBound {
    private AcknowledgedBound() {}

    /**
     * Returns the bound, or none if too few servers have answered.
     *
     * @param positions positions of the servers that have answered
     * @param holders number of servers that may hold an acknowledged commit
     * @param syncReplicas number of replicas that have received an acknowledged commit
     * @param steppedDownAt last position of the primary, if it has stepped down; it holds
     *     everything that it acknowledged
     */
    static Option<Position> of(
            List<Position> positions,
            int holders,
            int syncReplicas,
            Option<Position> steppedDownAt) {
        if (syncReplicas == 0) {
            return Option.some(Position.ZERO);
        }
        int selected = Math.max(1, holders - syncReplicas);
        if (positions.size() < selected) {
            return steppedDownAt;
        }
        Position bound = positions.stream().sorted().toList().get(selected - 1);
        return Option.some(
                steppedDownAt.filter(last -> last.compareTo(bound) < 0).getOrElse(bound));
    }
}
