package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointStatus;

/**
 * Chooses the primary of a term from the promises.
 *
 * <p>Every acknowledged position is held by a member of each majority, so the log with the largest
 * end among a majority contains it. Without a majority of promises there is no choice.
 */
final class CandidateChoice {
    private CandidateChoice() {}

    /**
     * Returns the candidate, if a majority promised.
     *
     * @param promises statuses of endpoints that promised the term
     * @param avoided endpoints that are leaving or suspected; they are chosen only if the others
     *     are no majority and have shorter logs
     * @param reporters fresh reporters per failure domain; most callers are where most are
     */
    static Option<String> choose(
            GroupState group,
            Map<String, EndpointStatus> promises,
            Set<String> avoided,
            Map<String, Integer> reporters) {
        if (promises.size() < group.majority()) {
            return Option.none();
        }
        Map<String, EndpointStatus> preferred = new TreeMap<>(promises);
        preferred.keySet().removeAll(avoided);
        Collection<String> candidates =
                preferred.size() >= group.majority() ? preferred.keySet() : promises.keySet();
        Comparator<String> order =
                Comparator.<String, EndpointStatus>comparing(
                                promises::get, Comparator.comparing(EndpointStatus::last))
                        .thenComparing(name -> !avoided.contains(name))
                        .thenComparing(name -> reporters.getOrDefault(domain(group, name), 0))
                        .thenComparing(Comparator.reverseOrder());
        return Option.ofOptional(candidates.stream().max(order));
    }

    private static String domain(GroupState group, String endpoint) {
        return group.endpoints()
                .get(endpoint)
                .map(Member::info)
                .map(info -> info.failureDomain())
                .getOrElse("");
    }
}
