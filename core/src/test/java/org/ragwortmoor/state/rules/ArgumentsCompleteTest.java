package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against rules that apply to records other than the intended ones. */
class ArgumentsCompleteTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "ArgumentsComplete",
                                "scope f \"\" # requested by A",
                                "partner \"C D\" f c/ # requested by A"))
                .isEmpty();
    }

    @Test
    void refused() {
        assertThat(RuleCases.positions("ArgumentsComplete", "scope f # requested by A"))
                .containsExactly("1:9");
        assertThat(RuleCases.positions("ArgumentsComplete", "scope f")).containsExactly("1:8");
        assertThat(RuleCases.positions("ArgumentsComplete", "scope f c/ d/ # requested by A"))
                .containsExactly("1:12");
        assertThat(RuleCases.positions("ArgumentsComplete", "scope \"\" c/ # requested by A"))
                .containsExactly("1:7");
        assertThat(
                        RuleCases.positions(
                                "ArgumentsComplete",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "allow read partner=C session=x # requested by A"))
                .containsExactly("3:12");
        assertThat(
                        RuleCases.positions(
                                "ArgumentsComplete",
                                "scope f c/ # requested by A",
                                "partner C f c/ # requested by A",
                                "allow read session= partner=C # requested by A"))
                .containsExactly("3:12");
    }
}
