package org.ragwortmoor.coordination.quota;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts the operations of each workspace in every sliding window. */
final class WindowChecker {
    private final long windowNanos;
    private final Map<String, List<Long>> times = new HashMap<>();

    WindowChecker(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    /** Records an operation; the times of different workspaces need not be in order. */
    void record(String workspace, long at) {
        times.computeIfAbsent(workspace, w -> new ArrayList<>()).add(at);
    }

    /** Returns the largest number of operations in a window that begins at or after a time. */
    int largestWindow(String workspace, long from) {
        List<Long> sorted = new ArrayList<>(times.getOrDefault(workspace, List.of()));
        Collections.sort(sorted);
        int largest = 0;
        int first = 0;
        for (int last = 0; last < sorted.size(); last++) {
            while (sorted.get(last) - sorted.get(first) >= windowNanos
                    || sorted.get(first) < from) {
                first++;
                if (first > last) {
                    break;
                }
            }
            largest = Math.max(largest, last - first + 1);
        }
        return largest;
    }

    /** Returns the number of operations in a period. */
    long count(String workspace, long from, long to) {
        return times.getOrDefault(workspace, List.of()).stream()
                .filter(t -> t >= from && t < to)
                .count();
    }
}
