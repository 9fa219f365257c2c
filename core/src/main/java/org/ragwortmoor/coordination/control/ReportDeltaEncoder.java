package org.ragwortmoor.coordination.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortmoor.coordination.control.ProxyReport.Acknowledged;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;

/**
 * Encodes a proxy's reports as deltas that contain only what the control leader does not know yet.
 *
 * <p>The base of a report is the report that the newest applied update answered. A delta contains
 * every observation that changed in any report after the base. The leader therefore ends with the
 * same observations whether it received all, some or none of the reports in between. A report is
 * complete if there is no base: at the start, after the set of endpoints changed, when a leader
 * requests it, and while answers are missing, since another control process may have become the
 * leader.
 *
 * <p>Thread-safe.
 */
public final class ReportDeltaEncoder {
    /**
     * Number of unanswered reports after which the next one is complete. Reports are sent every 250
     * ms, so a new leader has all observations after at most 750 ms even if its request for a
     * complete report is lost.
     */
    static final int MAX_UNANSWERED_REPORTS = 2;

    private final Map<EndpointKey, Entry> entries = new LinkedHashMap<>();
    private final Set<Long> deltas = new HashSet<>();
    private long firstValidBase = 1;
    private boolean completeRequested;

    /**
     * The latest observation of an endpoint and the sequence of the first report that contained it.
     */
    private record Entry(EndpointObservation observation, long changedInSequence) {}

    /**
     * The two encodings of one report.
     *
     * @param leader report for the leader
     * @param others report for the other control processes: without observations while the leader
     *     answers, otherwise complete
     */
    public record EncodedReports(ProxyReport leader, ProxyReport others) {}

    /** Makes the next report complete, because the leader does not have the base of a delta. */
    public synchronized void requestComplete() {
        completeRequested = true;
    }

    /**
     * Returns whether the report with this sequence was a delta, in which case its answer contains
     * only the shares that changed since the base. Sequences up to the base of the last report are
     * not tracked, since {@link ProxyShares} ignores their answers.
     */
    public synchronized boolean isDelta(long sequence) {
        return deltas.contains(sequence);
    }

    /**
     * Encodes the next report.
     *
     * @param report all current observations; sequences must be ascending
     */
    public synchronized EncodedReports next(ProxyReport report) {
        List<EndpointObservation> observed =
                report.endpoints().stream().map(ReportDeltaEncoder::quantizeSilence).toList();
        record(observed, report.sequence());
        Acknowledged base = report.acknowledged();
        boolean complete =
                completeRequested
                        || base.sequence() < firstValidBase
                        || report.sequence() - base.sequence() > MAX_UNANSWERED_REPORTS;
        completeRequested = false;
        deltas.removeIf(sequence -> sequence <= base.sequence());
        if (complete) {
            ProxyReport all =
                    report.with(
                            observed,
                            new Acknowledged(base.leaderTerm(), 0, base.groupsRevision()));
            return new EncodedReports(all, all);
        }
        deltas.add(report.sequence());
        List<EndpointObservation> changed = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.changedInSequence() > base.sequence()) {
                changed.add(entry.observation());
            }
        }
        // Term 0 is never the term of a leader, so no leader takes this report for a delta without
        // changes.
        Acknowledged withoutTerm = new Acknowledged(0, base.sequence(), base.groupsRevision());
        return new EncodedReports(report.with(changed, base), report.with(List.of(), withoutTerm));
    }

    private void record(List<EndpointObservation> observed, long sequence) {
        Map<EndpointKey, Entry> previous = new LinkedHashMap<>(entries);
        entries.clear();
        for (EndpointObservation observation : observed) {
            Entry known = previous.get(observation.key());
            boolean unchanged = known != null && known.observation().equals(observation);
            entries.put(observation.key(), unchanged ? known : new Entry(observation, sequence));
        }
        if (!previous.keySet().equals(entries.keySet())) {
            firstValidBase = sequence;
        }
    }

    /**
     * Reduces the silence, which grows with each report, to whether it reached the threshold of the
     * failure detector, which is all that the leader uses. The report that first states the
     * threshold is the same as with the exact duration.
     */
    private static EndpointObservation quantizeSilence(EndpointObservation observation) {
        boolean silent = observation.silentMillis() >= QuorumFailureDetector.SILENT_MILLIS;
        return new EndpointObservation(
                observation.group(),
                observation.endpoint(),
                silent ? QuorumFailureDetector.SILENT_MILLIS : 0,
                observation.connections(),
                observation.wanted(),
                observation.longRunning(),
                observation.longWanted(),
                observation.promisedTerm());
    }
}
