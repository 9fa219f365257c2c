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
 * Reduces a proxy's reports to what the control leader does not know yet.
 *
 * <p>The base of a report is the report that the newest applied update answered. The reduced report
 * has every observation that changed in any report after the base, so that a leader that missed
 * some of them, or already took some, ends with the same content. A report is complete if there is
 * no base: at the start, after the set of endpoints changed, when a leader asks for it, and while
 * answers are missing, since another control process may lead by then.
 *
 * <p>Safe for concurrent use.
 */
public final class ReportChanges {
    /**
     * Unanswered reports after which the next one is complete: reports are sent every 250 ms, so a
     * new leader has all evidence after at most 750 ms even if its request is lost.
     */
    static final int UNANSWERED_REPORTS = 2;

    private final Map<EndpointKey, Sent> sent = new LinkedHashMap<>();
    private final Set<Long> reduced = new HashSet<>();
    private long firstBase = 1;
    private boolean requested;

    /** The newest observation of an endpoint and the first report that had it. */
    private record Sent(EndpointObservation observation, long changedIn) {}

    /**
     * The two forms of one report.
     *
     * @param leader report for the leader
     * @param others report for the other control processes: without observations while the leader
     *     answers, and complete otherwise
     */
    public record Forms(ProxyReport leader, ProxyReport others) {}

    /** Makes the next report complete, because a leader cannot use a reduced one. */
    public synchronized void requestComplete() {
        requested = true;
    }

    /**
     * Returns whether the report of a sequence had only changes, so that its answer, too, has only
     * the shares that changed since the base. Answers that are not newer than the base of the last
     * report are ignored by {@link ProxyShares} and need not be asked for.
     */
    public synchronized boolean reduced(long sequence) {
        return reduced.contains(sequence);
    }

    /**
     * Returns the forms of the next report.
     *
     * @param report what the proxy observes now, with ascending sequences
     */
    public synchronized Forms next(ProxyReport report) {
        List<EndpointObservation> observed =
                report.endpoints().stream().map(ReportChanges::stable).toList();
        record(observed, report.sequence());
        Acknowledged base = report.acknowledged();
        boolean complete =
                requested
                        || base.sequence() < firstBase
                        || report.sequence() - base.sequence() > UNANSWERED_REPORTS;
        requested = false;
        reduced.removeIf(sequence -> sequence <= base.sequence());
        if (complete) {
            ProxyReport all =
                    report.with(
                            observed,
                            new Acknowledged(base.leaderTerm(), 0, base.groupsRevision()));
            return new Forms(all, all);
        }
        reduced.add(report.sequence());
        List<EndpointObservation> changed = new ArrayList<>();
        for (Sent entry : sent.values()) {
            if (entry.changedIn() > base.sequence()) {
                changed.add(entry.observation());
            }
        }
        // No leader has term 0, so that the short form is never taken for "nothing changed".
        Acknowledged noBase = new Acknowledged(0, base.sequence(), base.groupsRevision());
        return new Forms(report.with(changed, base), report.with(List.of(), noBase));
    }

    private void record(List<EndpointObservation> observed, long sequence) {
        Map<EndpointKey, Sent> before = new LinkedHashMap<>(sent);
        sent.clear();
        for (EndpointObservation observation : observed) {
            Sent known = before.get(observation.key());
            boolean same = known != null && known.observation().equals(observation);
            sent.put(observation.key(), same ? known : new Sent(observation, sequence));
        }
        if (!before.keySet().equals(sent.keySet())) {
            firstBase = sequence;
        }
    }

    /**
     * Replaces the silence, which grows with each report, by the one fact that the leader uses: it
     * reached the limit of the failure detector. The report that is the first to state it is the
     * same as with the duration.
     */
    private static EndpointObservation stable(EndpointObservation seen) {
        boolean silent = seen.silentMillis() >= FailureDetector.SILENT_MILLIS;
        return new EndpointObservation(
                seen.group(),
                seen.endpoint(),
                silent ? FailureDetector.SILENT_MILLIS : 0,
                seen.connections(),
                seen.wanted(),
                seen.longRunning(),
                seen.longWanted(),
                seen.promisedTerm());
    }
}
