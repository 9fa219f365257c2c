package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;

/**
 * Suspects an endpoint if a majority of the reporters, located in more than one failure domain,
 * received no answer from it.
 *
 * <p>A single partitioned proxy, a partitioned failure domain, a slow link or a paused proxy must
 * not cause a promotion. Reporters are the proxies with fresh reports that use the endpoint, and
 * the leader itself, which observes the announcements. If the leader is the only reporter and
 * receives no announcement of any endpoint of the group, it is considered partitioned and suspects
 * nothing. A fresh reporter whose observations a new leader has not received yet counts as one that
 * may have received an answer.
 */
final class QuorumFailureDetector implements FailureDetector {
    /**
     * Time without an answer after which an endpoint is silent: more than two pings, which are 250
     * ms apart. About half of the 2 s allowed for a write gap remains for the promotion.
     */
    static final long SILENT_MILLIS = 600;

    private static final long SILENT_NANOS = SILENT_MILLIS * 1_000_000;

    private final String leaderDomain;
    private final ReportTable reports;
    private final EndpointDirectory directory;

    QuorumFailureDetector(String leaderDomain, ReportTable reports, EndpointDirectory directory) {
        this.leaderDomain = leaderDomain;
        this.reports = reports;
        this.directory = directory;
    }

    @Override
    public Option<String> suspicion(EndpointKey key, long now) {
        boolean leaderSilent = directory.silentNanos(key, now) >= SILENT_NANOS;
        Map<String, EndpointObservation> observations = reports.observations(key);
        if (!leaderSilent
                && observations.values().stream().noneMatch(QuorumFailureDetector::silent)) {
            return Option.none();
        }
        int reporters = 1;
        int silent = 0;
        Set<String> domains = new TreeSet<>();
        Set<String> silentDomains = new TreeSet<>();
        domains.add(leaderDomain);
        if (leaderSilent) {
            silent++;
            silentDomains.add(leaderDomain);
        }
        for (Map.Entry<String, EndpointObservation> entry : observations.entrySet()) {
            ReportTable.Reporter reporter = reports.reporters().get(entry.getKey());
            if (reporter == null || !reporter.fresh(now)) {
                continue;
            }
            reporters++;
            domains.add(reporter.report().failureDomain());
            if (silent(entry.getValue())) {
                silent++;
                silentDomains.add(reporter.report().failureDomain());
            }
        }
        reporters += reports.freshWithoutObservations(now);
        if (reporters == 1 && !directory.groupAlive(key.group(), now)) {
            return Option.none();
        }
        boolean majority = silent * 2 > reporters;
        if (!majority || silentDomains.size() < Math.min(2, domains.size())) {
            return Option.none();
        }
        return Option.of(
                "%d of %d reporters in %s saw no answer of %s for %d ms"
                        .formatted(
                                silent,
                                reporters,
                                String.join(", ", silentDomains),
                                key.endpoint(),
                                SILENT_MILLIS));
    }

    private static boolean silent(EndpointObservation observation) {
        return observation.silentMillis() >= SILENT_MILLIS;
    }
}
