package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;

/**
 * Suspects an endpoint of which a majority of the reporters in several failure domains saw no
 * answer.
 *
 * <p>One cut-off proxy, one failure domain without contact, a slow link or a frozen proxy must not
 * cost a group its primary. Reporters are the proxies with fresh reports that use the endpoint, and
 * the leader by the announcements that it receives. A leader that is the only reporter and hears no
 * endpoint of the group is cut off itself and suspects nothing. A fresh reporter whose observations
 * a new leader does not have yet counts as one that may have seen an answer.
 */
final class FailureDetector implements SuspicionRule {
    /** More than two pings (250 ms apart) are missed; half of the 2 s of the write gap remains. */
    static final long SILENT_MILLIS = 600;

    private static final long SILENT_NANOS = SILENT_MILLIS * 1_000_000;

    private final String leaderDomain;
    private final ReportTable reports;
    private final EndpointDirectory directory;

    FailureDetector(String leaderDomain, ReportTable reports, EndpointDirectory directory) {
        this.leaderDomain = leaderDomain;
        this.reports = reports;
        this.directory = directory;
    }

    @Override
    public Option<String> suspicion(EndpointKey key, long now) {
        boolean leaderSilent = directory.silentFor(key, now) >= SILENT_NANOS;
        Map<String, EndpointObservation> observations = reports.observations(key);
        if (!leaderSilent && observations.values().stream().noneMatch(FailureDetector::silent)) {
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
        for (Map.Entry<String, EndpointObservation> seen : observations.entrySet()) {
            ReportTable.Reporter reporter = reports.reporters().get(seen.getKey());
            if (reporter == null || !reporter.fresh(now)) {
                continue;
            }
            reporters++;
            domains.add(reporter.report().failureDomain());
            if (silent(seen.getValue())) {
                silent++;
                silentDomains.add(reporter.report().failureDomain());
            }
        }
        reporters += reports.unknown(now);
        if (reporters == 1 && !directory.hearsGroup(key.group(), now)) {
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
