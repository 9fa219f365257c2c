package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.List;

/**
 * Explains which rules apply to one record and principal.
 *
 * @param group group of the record
 * @param key key of the record
 * @param principal principal of the session
 * @param read decision on reads
 * @param write decision on writes
 * @param scope scope line that covers the record
 * @param partner partner line that covers the record
 * @param age age line that covers the record
 * @param matching {@code allow} and {@code deny} lines that match the principal
 */
public record RuleExplanation(
        String group,
        String key,
        String principal,
        Decision read,
        Decision write,
        Option<RuleLine> scope,
        Option<RuleLine> partner,
        Option<RuleLine> age,
        List<RuleLine> matching) {
    /** Copies the list. */
    public RuleExplanation {
        matching = List.copyOf(matching);
    }

    /** Explains the effect of {@code rules} on a record. */
    public static RuleExplanation of(RuleSet rules, String group, String key, String principal) {
        Option<RuleLine> partner = rules.partner(group, key);
        List<RuleLine> matching =
                partner
                        .map(line -> rules.accessLines(((Rule.Partner) line.rule()).name()))
                        .getOrElse(List.of())
                        .stream()
                        .filter(l -> ((Rule.AccessRule) l.rule()).session().matches(principal))
                        .toList();
        return new RuleExplanation(
                group,
                key,
                principal,
                rules.decide(group, key, principal, Access.READ),
                rules.decide(group, key, principal, Access.WRITE),
                rules.scope(group, key),
                partner,
                rules.age(group, key),
                matching);
    }

    /** Returns the explanation as human-readable text. */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append("read:    ").append(read.message()).append('\n');
        text.append("write:   ").append(write.message()).append('\n');
        text.append("partner: ").append(described(partner)).append('\n');
        text.append("scope:   ").append(described(scope)).append('\n');
        text.append("age:     ").append(described(age)).append('\n');
        matching.forEach(line -> text.append("matches: ").append(line.description()).append('\n'));
        return text.toString();
    }

    private static String described(Option<RuleLine> line) {
        return line.map(RuleLine::description).getOrElse("no line");
    }
}
