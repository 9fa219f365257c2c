package org.ragwortmoor.coordination.activation;

import io.vavr.control.Option;
import java.util.List;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.control.ControlUpdate.RulesText;
import org.ragwortmoor.state.endpoint.Operation.Get;

/**
 * Linearizability test: no decision may combine two versions, or a version with the lease of
 * another.
 */
@Param(name = "term", gen = IntGen.class, conf = "1:2")
@Param(name = "version", gen = IntGen.class, conf = "1:3")
@Param(name = "time", gen = IntGen.class, conf = "0:4")
public class RulesGateConcurrencyTest {
    private static final String REQUESTED_BY = "  # requested by A\n";

    /** Parsed once, because Lincheck would otherwise instrument the parser as well. */
    private static final List<Option<RulesVersion>> VERSIONS =
            List.of(
                    version(0, ""),
                    version(1, "scope f c" + REQUESTED_BY),
                    version(2, "scope f c" + REQUESTED_BY + "partner C f c" + REQUESTED_BY),
                    version(3, ""));

    private static Option<RulesVersion> version(long number, String text) {
        return RulesVersion.parse(Option.of(new RulesText(number, text))).get();
    }

    private final RulesGate gate = new RulesGate();

    @Operation
    public String update(
            @Param(name = "term") int term,
            @Param(name = "version") int version,
            @Param(name = "time") int sent) {
        return gate.accept(term, VERSIONS.get(version), Option.none(), sent).kind().name();
    }

    @Operation
    public String decide(@Param(name = "time") int time) {
        GateDecision decision = gate.decide("f", new Get("c"), "x", time);
        return decision.getClass().getSimpleName();
    }

    @Operation
    public long version() {
        return gate.version();
    }

    @Test
    void linearizableUnderStress() {
        new StressOptions()
                .iterations(10)
                .invocationsPerIteration(300)
                .threads(2)
                .actorsPerThread(3)
                .check(RulesGateConcurrencyTest.class);
    }

    @Test
    void linearizableInEveryCheckedSchedule() {
        new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(100)
                .threads(2)
                .actorsPerThread(3)
                .check(RulesGateConcurrencyTest.class);
    }
}
