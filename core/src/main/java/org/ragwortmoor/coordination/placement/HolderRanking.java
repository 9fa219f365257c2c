package org.ragwortmoor.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The order in which a proxy uses the proxies of its failure domain as holders of the connections
 * to a group.
 *
 * @param holders proxies that hold connections
 * @param candidates proxies in the order in which this proxy uses them: the holders, starting with
 *     itself or with the one to which its hash assigns it, then a substitute, then itself
 */
public record HolderRanking(Set<String> holders, List<String> candidates) {
    private static final int DIRECT_SUBSTITUTES = 2;

    /** Copies the collections. */
    public HolderRanking {
        holders = Set.copyOf(holders);
        candidates = List.copyOf(candidates);
    }

    /**
     * Returns the ranking for a group.
     *
     * @param self this proxy
     * @param neighbours live proxies of the failure domain; empty if unknown
     */
    public static HolderRanking of(
            ConnectionPlan plan, String group, String self, List<String> neighbours) {
        if (plan.direct()) {
            return direct(group, self, neighbours);
        }
        return neighbours.isEmpty()
                ? unknown(self)
                : of(group, self, neighbours, plan.holdersPerDomain());
    }

    /**
     * Returns the ranking for a group whose connections are held by some proxies.
     *
     * @param self this proxy
     * @param members live proxies of the failure domain
     * @param holderCount number of holders
     */
    public static HolderRanking of(
            String group, String self, List<String> members, int holderCount) {
        Map<String, Double> weights = new HashMap<>();
        members.forEach(member -> weights.put(member, 1.0));
        weights.put(self, 1.0);
        List<String> ranked = RendezvousHash.rank(group, weights);
        List<String> holders = ranked.subList(0, Math.min(holderCount, ranked.size()));
        Set<String> candidates = new LinkedHashSet<>();
        if (holders.contains(self)) {
            candidates.add(self);
        }
        candidates.addAll(rotate(holders, RendezvousHash.hash(group, self)));
        if (ranked.size() > holders.size()) {
            candidates.add(ranked.get(holders.size()));
        }
        candidates.add(self);
        return new HolderRanking(Set.copyOf(holders), new ArrayList<>(candidates));
    }

    /**
     * Returns the candidates in the order in which this proxy uses them for a workspace. All
     * proxies that know the same holders start with the same one, so that the connections of a
     * workspace gather there.
     *
     * @param workspace name of the workspace; if it is empty, the order is that of {@link
     *     #candidates()}
     */
    public List<String> candidates(String group, String workspace) {
        if (workspace.isEmpty() || holders.size() <= 1) {
            return candidates;
        }
        Map<String, Double> weights = new HashMap<>();
        holders.forEach(holder -> weights.put(holder, 1.0));
        Set<String> ordered =
                new LinkedHashSet<>(RendezvousHash.rank(group + '\n' + workspace, weights));
        ordered.addAll(candidates);
        return List.copyOf(ordered);
    }

    /** Returns the ranking while the other proxies are unknown: no proxy holds connections. */
    public static HolderRanking unknown(String self) {
        return new HolderRanking(Set.of(), List.of(self));
    }

    /**
     * Returns the ranking for a group to which every proxy holds connections: this proxy, then two
     * others, which serve it while it does not reach the leader.
     */
    public static HolderRanking direct(String group, String self, List<String> members) {
        Map<String, Double> weights = new HashMap<>();
        members.forEach(member -> weights.put(member, 1.0));
        weights.remove(self);
        List<String> ranked = RendezvousHash.rank(group + '\n' + self, weights);
        List<String> candidates = new ArrayList<>(List.of(self));
        candidates.addAll(ranked.subList(0, Math.min(DIRECT_SUBSTITUTES, ranked.size())));
        return new HolderRanking(Set.of(self), candidates);
    }

    private static List<String> rotate(List<String> list, long by) {
        int start = (int) Long.remainderUnsigned(by, list.size());
        List<String> rotated = new ArrayList<>(list.subList(start, list.size()));
        rotated.addAll(list.subList(0, start));
        return rotated;
    }

    /** Returns whether the proxy holds connections. */
    public boolean holds(String proxy) {
        return holders.contains(proxy);
    }
}
