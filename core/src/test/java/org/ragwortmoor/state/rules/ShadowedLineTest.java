package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against {@code allow} lines that have no effect. */
class ShadowedLineTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "ShadowedLine",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "allow read session=a* partner=C # requested by A",
                                "deny read session=ab partner=C # requested by A",
                                "deny write session=* partner=C # requested by A"))
                .isEmpty();
    }

    @Test
    void warned() {
        assertThat(
                        RuleCases.positions(
                                "ShadowedLine",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "allow read,write session=ab* partner=C # requested by A",
                                "deny write session=a* partner=C # requested by A"))
                .containsExactly("3:7");
        assertThat(
                        RuleCases.positions(
                                "ShadowedLine",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "allow read,write session=ab partner=C # requested by A",
                                "deny write session=a* partner=C # requested by A",
                                "deny read session=*b partner=C # requested by A"))
                .containsExactly("3:7", "3:7");
    }
}
