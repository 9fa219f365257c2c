package org.ragwortmoor.coordination.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Weighted max-min fair allocation with the reported demand as weight.
 *
 * <p>Units are assigned one at a time to the proxy with the smallest ratio of share to demand until
 * all demands are met, so that callers of all proxies wait equally long. The remaining units are
 * distributed evenly as headroom. If there are fewer units than proxies with unmet demand, the
 * units rotate among these proxies in order of their names (round robin).
 */
final class FairSharePolicy implements SharePolicy {
    private static final class Allocation {
        private final String proxy;
        private final int demand;
        private int order;
        private int share;

        private Allocation(String proxy, Demand requested) {
            this.proxy = proxy;
            this.demand = Math.max(requested.floor(), requested.units());
            this.share = requested.floor();
        }

        private double fillRatio() {
            return (double) share / demand;
        }
    }

    @Override
    public Map<String, Integer> allocate(
            int capacity, SortedMap<String, Demand> demands, long round) {
        List<Allocation> allocations = createAllocations(demands, round);
        int remaining = capacity;
        for (Allocation allocation : allocations) {
            remaining -= allocation.share;
        }
        remaining = satisfyDemand(allocations, remaining);
        distributeEvenly(allocations, remaining);
        Map<String, Integer> shares = new TreeMap<>();
        allocations.forEach(a -> shares.put(a.proxy, a.share));
        return shares;
    }

    private static List<Allocation> createAllocations(
            SortedMap<String, Demand> demands, long round) {
        List<Allocation> allocations = new ArrayList<>(demands.size());
        List<Allocation> unmet = new ArrayList<>();
        for (Map.Entry<String, Demand> entry : demands.entrySet()) {
            Allocation allocation = new Allocation(entry.getKey(), entry.getValue());
            allocations.add(allocation);
            if (allocation.share < allocation.demand) {
                unmet.add(allocation);
            }
        }
        for (int i = 0; i < unmet.size(); i++) {
            unmet.get(i).order = (int) Math.floorMod(i - round, (long) unmet.size());
        }
        return allocations;
    }

    private static int satisfyDemand(List<Allocation> allocations, int capacity) {
        PriorityQueue<Allocation> unmet =
                new PriorityQueue<>(
                        Comparator.<Allocation>comparingDouble(Allocation::fillRatio)
                                .thenComparingInt(a -> a.order));
        for (Allocation allocation : allocations) {
            if (allocation.share < allocation.demand) {
                unmet.add(allocation);
            }
        }
        int remaining = capacity;
        while (remaining > 0 && !unmet.isEmpty()) {
            Allocation next = unmet.poll();
            next.share++;
            remaining--;
            if (next.share < next.demand) {
                unmet.add(next);
            }
        }
        return remaining;
    }

    private static void distributeEvenly(List<Allocation> allocations, int capacity) {
        if (capacity <= 0 || allocations.isEmpty()) {
            return;
        }
        int each = capacity / allocations.size();
        int rest = capacity % allocations.size();
        for (int i = 0; i < allocations.size(); i++) {
            allocations.get(i).share += each + (i < rest ? 1 : 0);
        }
    }
}
