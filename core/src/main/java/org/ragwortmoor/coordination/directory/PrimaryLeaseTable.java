package org.ragwortmoor.coordination.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * The leases on primaries that this process has granted to proxies while it leads the control
 * group.
 *
 * <p>A proxy uses a server as primary only while it holds a lease, which it counts from the sending
 * of the report that asked for it. A promotion waits until no lease on the replaced primary is
 * left, so a primary that does not know of its replacement is not used any more. Leases are not
 * stored: a new leader assumes that every lease of its predecessors ends one full duration after
 * its election.
 */
public final class PrimaryLeaseTable {
    /** Fraction of the duration by which the clock of a proxy may run slow. */
    private static final double CLOCK_DRIFT = 0.01;

    private final long durationNanos;
    private final Map<String, Map<Holder, Long>> endsByGroup = new HashMap<>();
    private final Map<Holder, Long> lastReports = new HashMap<>();
    private final Set<String> withheld = new TreeSet<>();
    private long earlierLeasesEnd;

    /** A process of a proxy. Reports of its predecessors may arrive after its own. */
    private record Holder(String proxy, long incarnation) {}

    /**
     * A proxy's lease on the primary of a group, as stated in a report.
     *
     * @param group name of the group
     * @param held whether the proxy still holds a lease
     * @param requested whether the proxy requests a lease on the server that the directory names as
     *     primary
     */
    public record LeaseStatement(String group, boolean held, boolean requested) {}

    /**
     * Creates a table without leases.
     *
     * @param durationMillis duration of a lease; 0 if the platform itself deposes a replaced
     *     primary, so that no leases are needed
     */
    public PrimaryLeaseTable(long durationMillis) {
        this.durationNanos = TimeUnit.MILLISECONDS.toNanos(durationMillis);
    }

    /** Returns whether primaries may be used only under a lease. */
    public boolean required() {
        return durationNanos > 0;
    }

    /** Returns the duration of a lease, in milliseconds. */
    public long durationMillis() {
        return TimeUnit.NANOSECONDS.toMillis(durationNanos);
    }

    /** Discards the grants of an earlier leadership; to be called when this process is elected. */
    public void elected(long now) {
        endsByGroup.clear();
        lastReports.clear();
        withheld.clear();
        earlierLeasesEnd = endOfLease(now);
    }

    /**
     * Processes the leases of a report and grants those that were requested and are not withheld.
     *
     * @param incarnation identifier of the proxy's process
     * @param reportId number of the report
     * @param receivedAt time at which the report arrived, which is not before it was sent
     * @return false if the report arrived out of order, so that it grants nothing
     */
    public boolean recordReport(
            String proxy,
            long incarnation,
            long reportId,
            List<LeaseStatement> statements,
            long receivedAt) {
        Holder holder = new Holder(proxy, incarnation);
        Long last = lastReports.get(holder);
        if (last != null && reportId <= last) {
            return false;
        }
        if (last == null) {
            endsByGroup.values().forEach(m -> m.values().removeIf(end -> end - receivedAt <= 0));
        }
        lastReports.put(holder, reportId);
        for (LeaseStatement statement : statements) {
            Map<Holder, Long> ends =
                    endsByGroup.computeIfAbsent(statement.group(), g -> new HashMap<>());
            if (!statement.held()) {
                ends.remove(holder);
            }
            if (statement.requested() && !withheld.contains(statement.group())) {
                ends.put(holder, endOfLease(receivedAt));
            }
        }
        return true;
    }

    /** Grants no more leases on the group's primary. */
    public void withhold(String group) {
        withheld.add(group);
    }

    /** Grants leases on the group's primary again. */
    public void resume(String group) {
        withheld.remove(group);
    }

    /** Returns the groups on whose primaries no leases are granted. */
    public Set<String> withheld() {
        return withheld;
    }

    /** Returns whether a proxy may still use the group's primary. */
    public boolean outstanding(String group, long now) {
        return required() && !holders(group, now).isEmpty();
    }

    /** Returns who may still use the group's primary, with the remaining time, for logs. */
    public List<String> holders(String group, long now) {
        List<String> found = new ArrayList<>();
        if (required() && earlierLeasesEnd - now > 0) {
            found.add("unknown:" + TimeUnit.NANOSECONDS.toMillis(earlierLeasesEnd - now));
        }
        endsByGroup
                .getOrDefault(group, Map.of())
                .forEach(
                        (holder, end) -> {
                            if (end - now > 0) {
                                long millis = TimeUnit.NANOSECONDS.toMillis(end - now);
                                found.add(holder.proxy() + ":" + millis);
                            }
                        });
        return found;
    }

    private long endOfLease(long grantedAt) {
        return grantedAt + durationNanos + (long) (durationNanos * CLOCK_DRIFT);
    }
}
