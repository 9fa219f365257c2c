package org.ragwortmoor.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.engine.ReadLevel;
import org.ragwortmoor.history.Access;
import org.ragwortmoor.history.RequestKind;

class WorkloadGeneratorTest {
    private static Workload workload(String... flags) {
        List<String> all = new ArrayList<>(List.of(flags));
        all.add("--deployment=carritos");
        return LoadSettings.parse(all.toArray(String[]::new)).workload();
    }

    private static List<PlannedRequest> plan(Workload workload) {
        List<PlannedRequest> plan = new ArrayList<>();
        new WorkloadGenerator(workload, List.of("g", "h"), 7).forEachRemaining(plan::add);
        return plan;
    }

    /** Guards against runs that cannot be repeated. */
    @Test
    void equalSeedsGiveEqualPlans() {
        Workload workload = workload("--seed=4", "--base-rate=500", "--duration=2000");
        assertThat(plan(workload)).isEqualTo(plan(workload)).isNotEmpty();
        assertThat(plan(workload.withSeed(5))).isNotEqualTo(plan(workload));
    }

    /** Guards against a demand that ignores the crest or its flanks. */
    @Test
    void rateFollowsTheDemand() {
        Demand demand = new Demand(100, 500, 1_000, 2_000, 1_000);
        assertThat(demand.rate(TimeUnit.MILLISECONDS.toNanos(999))).isEqualTo(100);
        assertThat(demand.rate(TimeUnit.MILLISECONDS.toNanos(1_500))).isEqualTo(300);
        assertThat(demand.rate(TimeUnit.MILLISECONDS.toNanos(3_000))).isEqualTo(500);
        assertThat(demand.rate(TimeUnit.MILLISECONDS.toNanos(4_500))).isEqualTo(300);
        assertThat(demand.rate(TimeUnit.MILLISECONDS.toNanos(5_000))).isEqualTo(100);
        assertThat(demand.endMillis()).isEqualTo(5_000);
        List<PlannedRequest> plan =
                plan(
                        workload(
                                "--base-rate=100",
                                "--crest-rate=1000",
                                "--crest-start=5000",
                                "--crest-length=5000"));
        long crest = plan.stream().filter(r -> r.atNanos() >= TimeUnit.SECONDS.toNanos(5)).count();
        assertThat(crest).isBetween(4_600L, 5_400L);
        assertThat(plan.size() - crest).isBetween(400L, 600L);
        assertThat(plan).isSortedAccordingTo((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
    }

    /** Guards against shares that are off, and values that the history check cannot tell apart. */
    @Test
    void mixIsAsStated() {
        List<PlannedRequest> plan =
                plan(
                        workload(
                                "--base-rate=1000",
                                "--read-percent=60",
                                "--transaction-percent=10",
                                "--strong-percent=20",
                                "--age-percent=50",
                                "--long-percent=25"));
        List<PlannedRequest> reads =
                plan.stream().filter(r -> r.kind() == RequestKind.READ).toList();
        assertThat(percent(reads.size(), plan.size())).isBetween(57.0, 63.0);
        assertThat(
                        percent(
                                reads.stream().filter(r -> r.level() == ReadLevel.STRONG).count(),
                                reads.size()))
                .isBetween(17.0, 23.0);
        assertThat(
                        percent(
                                reads.stream()
                                        .filter(r -> r.label().equals(WorkloadGenerator.LONG))
                                        .count(),
                                reads.size()))
                .isBetween(22.0, 28.0);
        assertThat(reads)
                .allSatisfy(
                        r ->
                                assertThat(r.maxAgeMillis() > 0)
                                        .isEqualTo(r.level() == ReadLevel.AGE));
        List<String> values =
                plan.stream()
                        .flatMap(r -> r.operations().stream())
                        .filter(a -> a.op() == Access.Op.PUT)
                        .map(Access::value)
                        .toList();
        assertThat(values).doesNotHaveDuplicates().isNotEmpty();
    }

    private static double percent(long part, long whole) {
        return 100.0 * part / whole;
    }
}
