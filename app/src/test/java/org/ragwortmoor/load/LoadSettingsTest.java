package org.ragwortmoor.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.settings.SettingsProblem;
import org.ragwortmoor.settings.SettingsReader;

class LoadSettingsTest {
    private static List<String> problems(String... flags) {
        return new SettingsReader(Map.of())
                .read(LoadSettings.ROLE, List.of(flags)).getLeft().stream()
                        .map(SettingsProblem::text)
                        .toList();
    }

    /** Guards against wrong values of which only the first is reported. */
    @Test
    void allWrongValuesAreReportedInOneRun() {
        assertThat(
                        problems(
                                "--deployment=elsewhere",
                                "--read-percent=101",
                                "--faults=100:melt:fleet-colina-1",
                                "--classes=maybe",
                                "--proxy-addresses=localhost:1"))
                .hasSize(5)
                .anySatisfy(p -> assertThat(p).contains("'elsewhere' is no deployment"))
                .anySatisfy(p -> assertThat(p).contains("101 is out of range"))
                .anySatisfy(p -> assertThat(p).contains("'melt' is no kind of fault"))
                .anySatisfy(p -> assertThat(p).contains("'maybe' is not on or off"))
                .anySatisfy(p -> assertThat(p).contains("'localhost' is no IP number"));
    }

    /** Guards against settings that are valid alone and senseless together. */
    @Test
    void conflictsAreReported() {
        assertThat(problems("--faults=10:kill:x"))
                .anySatisfy(p -> assertThat(p).contains("there is no target"))
                .anySatisfy(p -> assertThat(p).contains("the groups are not known"))
                .anySatisfy(p -> assertThat(p).contains("embedded deployments only"));
        assertThat(
                        problems(
                                "--deployment=carritos",
                                "--proxy-addresses=127.0.0.1:1",
                                "--read-percent=90",
                                "--transaction-percent=20",
                                "--strong-percent=60",
                                "--age-percent=50",
                                "--duration=1000",
                                "--max-age=0",
                                "--crest-start=500",
                                "--crest-length=600",
                                "--faults=1000:kill:fleet-colina-1"))
                .hasSize(6)
                .anySatisfy(p -> assertThat(p).contains("it is 110%"))
                .anySatisfy(p -> assertThat(p).contains("the crest ends after the load"))
                .anySatisfy(p -> assertThat(p).contains("the fault at 1000 ms is after"));
    }

    @Test
    void faultsAreSortedByTime() {
        List<FaultPlan> plans = FaultPlan.parse("900:freeze:a:50, 20:kill:primary-of-g").get();
        assertThat(plans)
                .containsExactly(
                        new FaultPlan(20, FaultPlan.Kind.KILL, "primary-of-g", 0),
                        new FaultPlan(900, FaultPlan.Kind.FREEZE, "a", 50));
        assertThat(FaultPlan.parse("none").get()).isEmpty();
        assertThat(FaultPlan.parse("5:kill").getLeft()).contains("AT:KIND:TARGET");
        assertThat(FaultPlan.parse("-5:kill:a").getLeft()).contains("time");
    }

    /** Guards against example files that no longer fit the settings. */
    @Test
    void exampleWorkloadsAreValid() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("..", "examples", "workloads"))) {
            List<Path> all = files.toList();
            assertThat(all).hasSizeGreaterThanOrEqualTo(4);
            for (Path file : all) {
                assertThat(
                                new SettingsReader(Map.of())
                                        .read(
                                                LoadSettings.ROLE,
                                                List.of("--settings", file.toString())))
                        .as(file.toString())
                        .isInstanceOf(Either.Right.class);
            }
        }
    }
}
