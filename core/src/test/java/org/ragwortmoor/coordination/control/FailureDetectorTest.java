package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ragwortmoor.coordination.control.ControlFixture.MS;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;

/** Guards against unnecessary promotions, each of which causes a write gap. */
class FailureDetectorTest {
    private static final EndpointKey KEY = new EndpointKey("fleet", "e0");
    private final ReportTable reports = new ReportTable();
    private final EndpointDirectory directory = new EndpointDirectory(0);
    private final QuorumFailureDetector detector =
            new QuorumFailureDetector("Colina", reports, directory);

    private static ProxyReport report(
            String proxy, String domain, long sequence, long sentAt, long silentMillis) {
        EndpointObservation observation =
                new EndpointObservation("fleet", "e0", silentMillis, 1, 1, 0, 0, 1);
        return new ProxyReport(
                proxy, 1, domain, sequence, 0, 0, false, sentAt, List.of(observation));
    }

    private void twoReports(String proxy, String domain, long silentMillis, long now) {
        reports.accept(report(proxy, domain, 1, now - 250 * MS, silentMillis), now - 250 * MS);
        reports.accept(report(proxy, domain, 2, now, silentMillis), now);
    }

    /**
     * The leader runs in Colina; the age of the announcement determines whether the endpoint is
     * silent to it.
     */
    @ParameterizedTest
    @CsvSource({
        // silence in Colina, Pirque, Lampa in ms, age of the announcement in ms, suspected
        "700, 700, 700, 700, true",
        "700, 700, 10, 700, true",
        "700, 700, 700, 100, true",
        // Two of four reporters are not a majority.
        "700, 700, 10, 100, false",
        "700, 10, 10, 700, false",
        // A slow link: answers are delayed but not lost.
        "599, 599, 599, 700, false",
        "10, 10, 10, 5000, false",
    })
    void aMajorityInTwoDomainsIsNeeded(
            long colina, long pirque, long lampa, long announced, boolean suspected) {
        long now = 10_000 * MS;
        SimulatedEndpoint endpoint = new SimulatedEndpoint("fleet", "e0", "Lampa");
        directory.accept(endpoint.announcement(3), now - announced * MS);
        twoReports("p0", "Colina", colina, now);
        twoReports("p1", "Pirque", pirque, now);
        twoReports("p2", "Lampa", lampa, now);
        assertThat(detector.suspicion(KEY, now).isDefined()).isEqualTo(suspected);
    }

    /** If only one failure domain cannot reach the endpoint, the domain is partitioned. */
    @Test
    void oneDomainAloneCausesNoSuspicionWhileOthersReport() {
        long now = 10_000 * MS;
        for (int i = 0; i < 5; i++) {
            twoReports("p" + i, "Colina", 900, now);
        }
        assertThat(detector.suspicion(KEY, now).isDefined()).isTrue();
        twoReports("q0", "Pirque", 10, now);
        assertThat(detector.suspicion(KEY, now).isDefined()).isFalse();
    }

    @Test
    void aLeaderWithoutAnyReportOrAnnouncementSuspectsNoEndpoint() {
        assertThat(detector.suspicion(KEY, 10_000 * MS).isDefined()).isFalse();
    }

    /**
     * A proxy that resumes after a pause reports the silence during the pause, which is no
     * evidence.
     */
    @Test
    void oldAndDelayedReportsAndReportsAfterAPauseAreNotFresh() {
        long now = 10_000 * MS;
        twoReports("p0", "Pirque", 10, now);
        ReportTable.Reporter reporter = reports.reporter("p0").get();
        assertThat(reporter.fresh(now + 599 * MS)).isTrue();
        assertThat(reporter.fresh(now + 600 * MS)).isFalse();

        long resumed = now + 2_000 * MS;
        assertThat(reports.accept(report("p0", "Pirque", 3, resumed, 2_000), resumed)).isTrue();
        assertThat(reporter.fresh(resumed)).isFalse();
        reports.accept(report("p0", "Pirque", 4, resumed + 250 * MS, 10), resumed + 250 * MS);
        assertThat(reporter.fresh(resumed + 250 * MS)).isTrue();

        long late = resumed + 1_400 * MS;
        reports.accept(report("p0", "Pirque", 5, resumed + 500 * MS, 10), late);
        assertThat(reporter.fresh(late)).isFalse();
    }

    @Test
    void duplicatesAndReportsOfAReplacedIncarnationAreDropped() {
        ProxyReport first = report("p0", "Pirque", 5, 0, 10);
        assertThat(reports.accept(first, 0)).isTrue();
        assertThat(reports.accept(first, 1)).isFalse();
        ProxyReport restarted = new ProxyReport("p0", 2, "Pirque", 1, 0, 0, false, 2, List.of());
        assertThat(reports.accept(restarted, 2)).isTrue();
        assertThat(reports.accept(report("p0", "Pirque", 6, 3, 10), 3)).isFalse();
        assertThat(reports.observations(KEY)).isEmpty();
    }

    @Test
    void theTimeoutDetectorMistakesAPartitionOfTheLeaderForAFailure() {
        long now = 10_000 * MS;
        SimulatedEndpoint endpoint = new SimulatedEndpoint("fleet", "e0", "Lampa");
        directory.accept(endpoint.announcement(3), now - 1_300 * MS);
        twoReports("p0", "Pirque", 10, now);
        TimeoutFailureDetector timeoutDetector =
                new TimeoutFailureDetector(EndpointDirectory.ALIVE_NANOS, directory);
        assertThat(timeoutDetector.suspicion(KEY, now).isDefined()).isTrue();
        assertThat(detector.suspicion(KEY, now).isDefined()).isFalse();
    }
}
