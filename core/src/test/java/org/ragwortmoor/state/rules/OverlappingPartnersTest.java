package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against overlooking that part of a prefix belongs to another partner. */
class OverlappingPartnersTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "OverlappingPartners",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "partner C f c/d # requested by A",
                                "partner D f b/ # requested by A"))
                .isEmpty();
    }

    @Test
    void warned() {
        assertThat(
                        RuleCases.positions(
                                "OverlappingPartners",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "partner D f c/d # requested by A"))
                .containsExactly("3:13");
    }
}
