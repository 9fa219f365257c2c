package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against silently skipping a line with a misspelt keyword. */
class KnownKeywordTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "KnownKeyword",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "allow read session=x partner=C # requested by A",
                                "deny read session=y partner=C # requested by A",
                                "age f c/ 5s # requested by A"))
                .isEmpty();
    }

    @Test
    void refused() {
        assertThat(RuleCases.positions("KnownKeyword", "Scope f c/ # requested by A"))
                .containsExactly("1:1");
        assertThat(
                        RuleCases.positions(
                                "KnownKeyword",
                                "  # comment",
                                "  denny read session=x partner=C # requested by A"))
                .containsExactly("2:3");
    }
}
