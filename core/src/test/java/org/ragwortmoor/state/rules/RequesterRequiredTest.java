package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against rules without a responsible person. */
class RequesterRequiredTest {
    @Test
    void allowed() {
        assertThat(
                        RuleCases.positions(
                                "RequesterRequired",
                                "scope f c/ # requested by A. Soto: order 12/3",
                                "scope f d/ #requested by A",
                                "# scope f x/",
                                "   "))
                .isEmpty();
    }

    @Test
    void refused() {
        assertThat(RuleCases.positions("RequesterRequired", "scope f c/")).containsExactly("1:11");
        assertThat(RuleCases.positions("RequesterRequired", "scope f c/ # for A"))
                .containsExactly("1:12");
        assertThat(RuleCases.positions("RequesterRequired", "scope f c/ # requested by : reason"))
                .containsExactly("1:12");
        assertThat(RuleCases.positions("RequesterRequired", "scope f c/ # requested byA"))
                .containsExactly("1:12");
    }
}
