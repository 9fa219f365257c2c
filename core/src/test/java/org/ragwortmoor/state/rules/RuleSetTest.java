package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.ragwortmoor.state.endpoint.ReadRecord;

/**
 * Guards against decisions by the wrong line and against records to which a rule is not applied.
 */
class RuleSetTest {
    private static final RuleSet RULES =
            RuleCases.rules(
                    "scope f c/ # requested by Court: order 7",
                    "partner C f c/ # requested by Court: order 7",
                    "partner D f c/d/ # requested by Soto",
                    "allow read session=clerk-* partner=C # requested by Soto",
                    "deny read,write session=clerk-9 partner=C # requested by Vera: left",
                    "allow read,write session=* partner=D # requested by Soto",
                    "age f c/ 5s",
                    "age f c/x 2s");

    @Example
    void reportsTheDecidingLineAndItsRequester() {
        assertDecision("c/1", "clerk-1", Access.READ, Decision.Reason.ADMITTED, 4);
        assertDecision("c/1", "clerk-1", Access.WRITE, Decision.Reason.NOT_ADMITTED, 2);
        assertDecision("c/1", "clerk-9", Access.READ, Decision.Reason.DENIED, 5);
        assertDecision("c/d/1", "clerk-9", Access.WRITE, Decision.Reason.ADMITTED, 6);
        assertThat(RULES.decide("f", "c", "x", Access.WRITE)).isEqualTo(Decision.NO_PARTNER);
        assertThat(RULES.decide("g", "c/1", "x", Access.WRITE)).isEqualTo(Decision.NO_PARTNER);
        assertThat(RULES.decide("f", "c/1", "clerk-9", Access.READ).message())
                .contains("line 5", "requested by Vera: left");
    }

    @Example
    void decidesEachRecordOfAScan() {
        List<ReadRecord> found =
                List.of(found("b"), found("c/1"), found("c/d/1"), found("c/e"), found("d"));
        ScanDecision decision = RULES.decideScan("f", found, "visitor");
        assertThat(decision.visible())
                .extracting(ReadRecord::key)
                .containsExactly("b", "c/d/1", "d");
        assertThat(decision.withheld()).isEqualTo(2);
        assertThat(decision.complete()).isFalse();
        assertThat(decision.refusal().get().line().get().line()).isEqualTo(2);
        assertThat(RULES.decideScanPrefix("f", "c/e", "visitor").allowed()).isFalse();
        assertThat(RULES.decideScanPrefix("f", "c/", "visitor").allowed()).isTrue();
        assertThat(RULES.decideScanPrefix("f", "", "visitor").allowed()).isTrue();
    }

    private static ReadRecord found(String key) {
        return new ReadRecord(key, Option.of("1"));
    }

    @Example
    void findsScopesAndAges() {
        assertThat(RULES.inScope("f", "c/1")).isTrue();
        assertThat(RULES.inScope("f", "c")).isFalse();
        assertThat(RULES.scanTouchesScope("f", "c")).isTrue();
        assertThat(RULES.scanTouchesScope("f", "c/9")).isTrue();
        assertThat(RULES.scanTouchesScope("f", "d")).isFalse();
        assertThat(RULES.acceptedAgeMillis("f", "c/xy")).isEqualTo(OptionalLong.of(2000));
        assertThat(RULES.acceptedAgeMillis("f", "d")).isEmpty();
        assertThat(RULES.acceptedAgeOfScanMillis("f", "c/")).isEqualTo(OptionalLong.of(2000));
        assertThat(RULES.acceptedAgeOfScanMillis("f", "c/d")).isEqualTo(OptionalLong.of(5000));
        assertThat(RULES.acceptedAgeOfScanMillis("f", "c")).isEmpty();
    }

    @Example
    void diffListsAllChanges() {
        RuleSet next =
                RuleCases.rules(
                        "scope f c/d # requested by Court: order 7",
                        "scope f b/ # requested by Court: order 8",
                        "partner D f c/d/ # requested by Vera");
        RuleDiff diff = RuleDiff.between(RULES, next);
        assertThat(diff.added()).extracting(RuleLine::line).containsExactly(1, 2);
        assertThat(diff.removed()).hasSize(7);
        assertThat(diff.reattributed()).hasSize(1);
        assertThat(diff.widenedScopes()).extracting(RuleLine::line).containsExactly(2);
        assertThat(RuleSet.widensScopes(next, RULES)).isTrue();
        assertThat(RuleDiff.between(RULES, RULES).empty()).isTrue();
        assertThat(RuleSet.widensScopes(RULES, RuleSet.EMPTY)).isFalse();
    }

    @Example
    void explainsARecord() {
        RuleExplanation explanation = RuleExplanation.of(RULES, "f", "c/1", "clerk-9");
        assertThat(explanation.matching()).extracting(RuleLine::line).containsExactly(4, 5);
        assertThat(explanation.text()).contains("read:    forbidden by line 5", "age:     line 7");
    }

    @Property(tries = 500, seed = "20261204")
    void findsTheSameLongestPrefixAsALinearSearch(
            @ForAll @Size(max = 12)
                    List<@StringLength(max = 5) @CharRange(from = 'a', to = 'c') String> prefixes,
            @ForAll @StringLength(max = 6) @CharRange(from = 'a', to = 'c') String key) {
        TreeMap<String, String> entries = new TreeMap<>();
        prefixes.forEach(p -> entries.put(p, p));
        String expected = null;
        for (String prefix : entries.keySet()) {
            expected = key.startsWith(prefix) ? prefix : expected;
        }
        PrefixIndex<String> index = new PrefixIndex<>(entries);
        assertThat(index.longest(key)).isEqualTo(expected);
        assertThat(index.within(key))
                .containsExactlyElementsOf(
                        entries.keySet().stream().filter(p -> p.startsWith(key)).toList());
    }

    @Property(tries = 500, seed = "20261204")
    void aCoveringPatternMatchesWhateverTheCoveredOneMatches(
            @ForAll @StringLength(max = 4) @CharRange(from = '*', to = ',') String outer,
            @ForAll @StringLength(max = 4) @CharRange(from = '*', to = ',') String inner,
            @ForAll @StringLength(max = 5) @CharRange(from = '+', to = ',') String principal) {
        SessionPattern covering = new SessionPattern(outer);
        SessionPattern covered = new SessionPattern(inner);
        if (covering.covers(covered) && covered.matches(principal)) {
            assertThat(covering.matches(principal)).isTrue();
        }
        // A principal that the other pattern matches shows that it is not covered.
        if (!covering.covers(covered)) {
            assertThat(covering.matches(inner.replace("*", "xyz"))).isFalse();
        }
    }

    private static void assertDecision(
            String key, String principal, Access access, Decision.Reason reason, int line) {
        Decision decision = RULES.decide("f", key, principal, access);
        assertThat(decision.reason()).isEqualTo(reason);
        assertThat(decision.line().map(RuleLine::line)).isEqualTo(Option.of(line));
    }
}
