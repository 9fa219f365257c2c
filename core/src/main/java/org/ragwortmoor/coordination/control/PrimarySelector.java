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
 * Selects the primary of a term among the endpoints that promised it.
 *
 * <p>Every acknowledged position is stored by at least one member of any majority. The log with the
 * largest end among a majority therefore contains all acknowledged positions. No primary is
 * selected without a majority of promises.
 */
final class PrimarySelector {
    private PrimarySelector() {}

    /**
     * Returns the selected endpoint, or none if fewer than a majority promised.
     *
     * @param promises statuses of endpoints that promised the term
     * @param avoided endpoints that are leaving or suspected; one of them is selected only if the
     *     remaining endpoints are no majority and have shorter logs
     * @param reporters number of fresh reporters per failure failureDomain, which approximates the
     *     number of callers there
     */
    static Option<String> select(
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
                        .thenComparing(
                                name -> reporters.getOrDefault(failureDomain(group, name), 0))
                        .thenComparing(Comparator.reverseOrder());
        return Option.ofOptional(candidates.stream().max(order));
    }

    private static String failureDomain(GroupState group, String endpoint) {
        return group.endpoints()
                .get(endpoint)
                .map(Member::info)
                .map(info -> info.failureDomain())
                .getOrElse("");
    }
}
