package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against scopes that reduce availability without need. */
class UnusedScopeTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "UnusedScope",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A"))
                .isEmpty();
    }

    @Test
    void warned() {
        assertThat(
                        RuleCases.positions(
                                "UnusedScope",
                                "scope f d/ # requested by A",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A"))
                .containsExactly("1:9");
    }
}
