package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against invisible or ambiguous characters in a rule. */
class ReadableWordsTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "ReadableWords",
                                "scope \"f g\" \"c\\\\ #\\\"/\" # requested by A",
                                "# any\u00a0comment",
                                "\tscope f\tc/ # requested by A\r"))
                .isEmpty();
    }

    @Test
    void refused() {
        assertThat(RuleCases.positions("ReadableWords", "scope \"f c/ # requested by A"))
                .containsExactly("1:7");
        assertThat(RuleCases.positions("ReadableWords", "scope f c/# requested by A"))
                .containsExactly("1:11");
        assertThat(RuleCases.positions("ReadableWords", "scope f \"c\\n\" # requested by A"))
                .containsExactly("1:11");
        assertThat(RuleCases.positions("ReadableWords", "scope f c\u200b/ # requested by A"))
                .containsExactly("1:10");
        assertThat(RuleCases.positions("ReadableWords", "", "scope f c/ # requested by\u00a0A"))
                .containsExactly("2:26");
        assertThat(RuleCases.positions("ReadableWords", "scope f c\u0007/ # requested by A"))
                .containsExactly("1:10");
        assertThat(RuleCases.positions("ReadableWords", "scope f c/ \r# requested by A"))
                .containsExactly("1:12");
    }
}
