package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a line that has no effect because its partner is misspelt. */
class PartnerDeclaredTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "PartnerDeclared",
                                "allow read session=x partner=C # requested by A",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A"))
                .isEmpty();
    }

    @Test
    void refused() {
        assertThat(
                        RuleCases.positions(
                                "PartnerDeclared",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "deny read session=x partner=c # requested by A"))
                .containsExactly("3:21");
    }
}
