package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against overlooking that the removal of a line has no effect. */
class RedundantLineTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "RedundantLine",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "allow read session=a partner=C # requested by A",
                                "allow write session=* partner=C # requested by A",
                                "age f c/ 5s # requested by A",
                                "age f c/d 6s # requested by A"))
                .isEmpty();
    }

    @Test
    void warned() {
        assertThat(
                        RuleCases.positions(
                                "RedundantLine",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "scope f c/d # requested by A",
                                "partner C f c/ # requested by A"))
                .containsExactly("3:1", "4:1");
        assertThat(
                        RuleCases.positions(
                                "RedundantLine",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "deny read session=ab partner=C # requested by A",
                                "deny read,write session=a* partner=C # requested by A",
                                "deny read,write session=a* partner=C # requested by A"))
                .containsExactly("3:1", "5:1");
    }
}
