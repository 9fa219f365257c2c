package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against durations with a missing or wrong unit. */
class DurationReadableTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "DurationReadable",
                                "age f a/ 250ms # requested by A",
                                "age f b/ 0s # requested by A",
                                "age f c/ 366d # requested by A"))
                .isEmpty();
    }

    @Test
    void refused() {
        assertThat(
                        RuleCases.positions(
                                "DurationReadable",
                                "age f a/ 5 # requested by A",
                                "age f b/ -5s # requested by A",
                                "age f c/ 367d # requested by A",
                                "age f d/ 5.5s # requested by A",
                                "age f e/ 9999999999999999999s # requested by A"))
                .containsExactly("1:10", "2:10", "3:10", "4:10", "5:10");
    }
}
