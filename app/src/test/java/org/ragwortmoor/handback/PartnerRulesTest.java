package org.ragwortmoor.handback;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.ragwortmoor.state.rules.RuleLine;
import org.ragwortmoor.state.rules.RuleParser;

/** Guards against exports that overlook a writer, miss records or take another partner's. */
class PartnerRulesTest {
    private static final String BASE =
            """
            scope g c/ # requested by Court
            partner C g c/ # requested by Court
            partner D g c/d/ # requested by Court
            allow read session=clerk partner=C # requested by Soto
            """;

    @Test
    void writerIsListedUnlessADenyLineCoversIt() {
        String writer = "allow write session=desk-* partner=C # requested by Soto\n";
        assertThat(rules("").writers()).isEmpty();
        assertThat(rules(writer).writers()).extracting(RuleLine::line).containsExactly(5);
        assertThat(rules(writer + deny("write", "desk-1")).writers()).hasSize(1);
        assertThat(rules(writer + deny("read", "*")).writers()).hasSize(1);
        assertThat(rules(writer + deny("write", "*")).writers()).isEmpty();
    }

    @Test
    void everyRecordUnderThePrefixMustBeReadable() {
        assertThatThrownBy(() -> rules("").checkReadable("clerk"))
                .hasMessageContaining("allow read session=clerk partner=D");
        String inner = "allow read session=cl* partner=D # requested by Soto\n";
        assertThatCode(() -> rules(inner).checkReadable("clerk")).doesNotThrowAnyException();
        assertThatThrownBy(() -> rules(inner + deny("read", "clerk")).checkReadable("clerk"))
                .hasMessageContaining("deny");
    }

    @Test
    void recordsOfAnInnerPartnerAreNotOwned() {
        PartnerRules rules = rules("");
        RuleLine own = rules.partnerLines().get(0);
        assertThat(rules.owns(own, "g", "c/1")).isTrue();
        assertThat(rules.owns(own, "g", "c/d/1")).isFalse();
    }

    @Test
    void undeclaredPartnerIsRefused() {
        PartnerRules rules = new PartnerRules(1, rules("").rules(), "E");
        assertThatThrownBy(() -> rules.checkReadable("clerk")).hasMessageContaining("partner E");
    }

    private static String deny(String operations, String session) {
        return "deny %s session=%s partner=C # requested by Court\n".formatted(operations, session);
    }

    private static PartnerRules rules(String more) {
        return new PartnerRules(1, RuleParser.parse(BASE + more).rules().get(), "C");
    }
}
