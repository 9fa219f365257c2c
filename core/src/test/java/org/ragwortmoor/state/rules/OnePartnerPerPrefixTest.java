package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against an owner that depends on the order of lines. */
class OnePartnerPerPrefixTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "OnePartnerPerPrefix",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "partner D f c/d # requested by A",
                                "partner C f c/ # requested by B"))
                .isEmpty();
    }

    @Test
    void refused() {
        assertThat(
                        RuleCases.positions(
                                "OnePartnerPerPrefix",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "partner D f c/ # requested by A"))
                .containsExactly("3:13");
    }
}
