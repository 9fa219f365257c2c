package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a misspelt line that is skipped. */
class KnownKeywordTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.places(
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
        assertThat(RuleCases.places("KnownKeyword", "Scope f c/ # requested by A"))
                .containsExactly("1:1");
        assertThat(
                        RuleCases.places(
                                "KnownKeyword",
                                "  # comment",
                                "  denny read session=x partner=C # requested by A"))
                .containsExactly("2:3");
    }
}
