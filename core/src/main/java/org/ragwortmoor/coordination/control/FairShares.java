package org.ragwortmoor.coordination.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Weighted max-min fair shares with the reported demand as weight.
 *
 * <p>Units are given one at a time to the proxy with the smallest share in proportion to its demand
 * until all demands are met, so callers wait alike behind every proxy. What is left over is spread
 * evenly as headroom. If there are fewer units than proxies with demand, each unit goes to one
 * proxy and the proxies take turns in order of their names.
 */
final class FairShares implements ShareRule {
    private static final class Claim {
        private final String proxy;
        private final int demand;
        private int order;
        private int share;

        private Claim(String proxy, Need need) {
            this.proxy = proxy;
            this.demand = Math.max(need.floor(), need.demand());
            this.share = need.floor();
        }

        private double level() {
            return (double) share / demand;
        }
    }

    @Override
    public Map<String, Integer> divide(int capacity, SortedMap<String, Need> needs, long turn) {
        List<Claim> claims = claims(needs, turn);
        int left = capacity;
        for (Claim claim : claims) {
            left -= claim.share;
        }
        left = meetDemand(claims, left);
        spread(claims, left);
        Map<String, Integer> shares = new TreeMap<>();
        claims.forEach(c -> shares.put(c.proxy, c.share));
        return shares;
    }

    private static List<Claim> claims(SortedMap<String, Need> needs, long turn) {
        List<Claim> claims = new ArrayList<>(needs.size());
        List<Claim> open = new ArrayList<>();
        for (Map.Entry<String, Need> need : needs.entrySet()) {
            Claim claim = new Claim(need.getKey(), need.getValue());
            claims.add(claim);
            if (claim.share < claim.demand) {
                open.add(claim);
            }
        }
        for (int i = 0; i < open.size(); i++) {
            open.get(i).order = (int) Math.floorMod(i - turn, (long) open.size());
        }
        return claims;
    }

    private static int meetDemand(List<Claim> claims, int capacity) {
        PriorityQueue<Claim> open =
                new PriorityQueue<>(
                        Comparator.<Claim>comparingDouble(Claim::level)
                                .thenComparingInt(c -> c.order));
        for (Claim claim : claims) {
            if (claim.share < claim.demand) {
                open.add(claim);
            }
        }
        int left = capacity;
        while (left > 0 && !open.isEmpty()) {
            Claim next = open.poll();
            next.share++;
            left--;
            if (next.share < next.demand) {
                open.add(next);
            }
        }
        return left;
    }

    private static void spread(List<Claim> claims, int capacity) {
        if (capacity <= 0 || claims.isEmpty()) {
            return;
        }
        int each = capacity / claims.size();
        int rest = capacity % claims.size();
        for (int i = 0; i < claims.size(); i++) {
            claims.get(i).share += each + (i < rest ? 1 : 0);
        }
    }
}
