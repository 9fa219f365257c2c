package org.ragwortmoor.coordination.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Compares measured costs with fixed costs in the same runs, with figures of each age. */
class BalancingTest {
    /** Two standard errors: the difference of equal rules exceeds them in one of forty runs. */
    private static final double NOISE = 2;

    private static final Map<ReadSimulation.Scenario, Pair> PLAYED = new HashMap<>();

    private record Pair(List<ReadSimulation.Result> fixed, List<ReadSimulation.Result> measured) {
        /** Returns the mean increase by measured costs, in standard errors of the mean. */
        double increase(ToDoubleFunction<ReadSimulation.Result> value) {
            int count = fixed.size();
            double sum = 0;
            double squares = 0;
            for (int i = 0; i < count; i++) {
                double difference =
                        value.applyAsDouble(measured.get(i)) - value.applyAsDouble(fixed.get(i));
                sum += difference;
                squares += difference * difference;
            }
            double mean = sum / count;
            double error = Math.sqrt(Math.max(0, squares / count - mean * mean) / (count - 1));
            return mean == 0 ? 0 : mean / error;
        }
    }

    static List<ReadSimulation.Scenario> scenarios() {
        return BalancingMeasurements.scenarios();
    }

    static List<ReadSimulation.Scenario> returns() {
        return scenarios().stream().filter(s -> s.fault() == ReadSimulation.Fault.COLD).toList();
    }

    private static Pair play(ReadSimulation.Scenario scenario) {
        return PLAYED.computeIfAbsent(
                scenario,
                s ->
                        new Pair(
                                BalancingMeasurements.play(s, random -> new FixedCostChoice()),
                                BalancingMeasurements.play(s, MeasuredCostChoice::new)));
    }

    /** Guards against a rule that gives up reads in time for its other aims. */
    @ParameterizedTest
    @MethodSource("scenarios")
    void noFewerReadsAreInTime(ReadSimulation.Scenario scenario) {
        assertThat(play(scenario).increase(ReadSimulation.Result::inTime))
                .isGreaterThanOrEqualTo(-NOISE);
    }

    /** Guards against a rule that serves more reads in time but the slowest ones later. */
    @ParameterizedTest
    @MethodSource("scenarios")
    @Tag("known-red")
    void theSlowestReadsAreNotLater(ReadSimulation.Scenario scenario) {
        assertThat(play(scenario).increase(ReadSimulation.Result::p99)).isLessThanOrEqualTo(NOISE);
    }

    /** Guards against a server that returns to more reads than it can serve while it is cold. */
    @ParameterizedTest
    @MethodSource("returns")
    void theSlowestReadsAfterAReturnAreNotLater(ReadSimulation.Scenario scenario) {
        assertThat(play(scenario).increase(ReadSimulation.Result::p99)).isLessThanOrEqualTo(NOISE);
    }

    /** Guards against a rule that needs many choosers in order to be as good as fixed costs. */
    @ParameterizedTest
    @EnumSource(ReadSimulation.Fault.class)
    void aSingleChooserServesNoFewerReadsInTime(ReadSimulation.Fault fault) {
        ReadSimulation.Scenario scenario =
                new ReadSimulation.Scenario(1, 10, 0.6, fault, List.of(1.0, 0.0, 0.0));
        assertThat(play(scenario).increase(ReadSimulation.Result::inTime))
                .isGreaterThanOrEqualTo(-NOISE);
    }

    /** Guards against a rule that serves the slowest reads earlier but the others later. */
    @ParameterizedTest
    @MethodSource("scenarios")
    @Tag("known-red")
    void theMedianReadIsNotLater(ReadSimulation.Scenario scenario) {
        assertThat(play(scenario).increase(ReadSimulation.Result::p50)).isLessThanOrEqualTo(NOISE);
    }

    /** Guards against a rule that loads one server more than the others. */
    @ParameterizedTest
    @MethodSource("scenarios")
    @Tag("known-red")
    void theBusiestServerIsNotBusier(ReadSimulation.Scenario scenario) {
        assertThat(play(scenario).increase(ReadSimulation.Result::busiest))
                .isLessThanOrEqualTo(NOISE);
    }

    /** Guards against a rule that pays for its gains with traffic between domains. */
    @ParameterizedTest
    @MethodSource("scenarios")
    @Tag("known-red")
    void noMoreReadsCrossDomains(ReadSimulation.Scenario scenario) {
        assertThat(play(scenario).increase(ReadSimulation.Result::remote))
                .isLessThanOrEqualTo(NOISE);
    }
}
