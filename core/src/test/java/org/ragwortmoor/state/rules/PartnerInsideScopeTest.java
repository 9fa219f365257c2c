package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against records that a disconnected proxy serves although a newer version forbids them.
 */
class PartnerInsideScopeTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "PartnerInsideScope",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A"))
                .isEmpty();
        assertThat(
                        RuleCases.positions(
                                "PartnerInsideScope",
                                "scope f \"\" # requested by A",
                                "partner C f c/x # requested by A"))
                .isEmpty();
    }

    @Test
    void refused() {
        assertThat(
                        RuleCases.positions(
                                "PartnerInsideScope",
                                "scope f c/x # requested by A",
                                "partner C f c/ # requested by A"))
                .containsExactly("2:13");
        assertThat(
                        RuleCases.positions(
                                "PartnerInsideScope",
                                "scope g c/ # requested by A",
                                "partner C f c/ # requested by A"))
                .containsExactly("2:13");
    }
}
