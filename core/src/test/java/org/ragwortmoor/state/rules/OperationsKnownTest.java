package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against silently ignored operations. */
class OperationsKnownTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "OperationsKnown",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "allow read,write session=x partner=C # requested by A"))
                .isEmpty();
    }

    @Test
    void refused() {
        assertThat(
                        RuleCases.positions(
                                "OperationsKnown",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "allow write,read session=x partner=C # requested by A",
                                "deny all session=x partner=C # requested by A"))
                .containsExactly("3:7", "4:6");
    }
}
