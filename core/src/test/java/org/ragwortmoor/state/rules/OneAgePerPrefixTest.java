package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against an accepted age that depends on the order of lines. */
class OneAgePerPrefixTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "OneAgePerPrefix",
                                "age f c/ 5s # requested by A",
                                "age f c/d 6s # requested by A",
                                "age g c/ 7s # requested by A"))
                .isEmpty();
    }

    @Test
    void refused() {
        assertThat(
                        RuleCases.positions(
                                "OneAgePerPrefix",
                                "age f c/ 5s # requested by A",
                                "age f c/ 6s # requested by A"))
                .containsExactly("2:10");
    }
}
