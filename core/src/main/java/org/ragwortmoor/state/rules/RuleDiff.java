package org.ragwortmoor.state.rules;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The changes between two rule files. The order of lines has no effect and is not compared.
 *
 * @param added lines of the new file whose rule is not in the old one
 * @param removed lines of the old file whose rule is not in the new one
 * @param reattributed rules of both files whose requester or reason changes
 * @param widenedScopes scope lines of the new file that no scope of the old one covers; if there
 *     are any, the new version takes effect only after every proxy has prepared it
 */
public record RuleDiff(
        List<RuleLine> added,
        List<RuleLine> removed,
        List<Reattribution> reattributed,
        List<RuleLine> widenedScopes) {
    /** A rule whose requester or reason changes. */
    public record Reattribution(RuleLine before, RuleLine after) {}

    /** Copies the lists. */
    public RuleDiff {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
        reattributed = List.copyOf(reattributed);
        widenedScopes = List.copyOf(widenedScopes);
    }

    /** Compares two rule sets. */
    public static RuleDiff between(RuleSet old, RuleSet next) {
        Map<Rule, RuleLine> before = byRule(old);
        Map<Rule, RuleLine> after = byRule(next);
        List<Reattribution> reattributed = new ArrayList<>();
        after.forEach(
                (rule, line) -> {
                    RuleLine earlier = before.get(rule);
                    if (earlier != null && !earlier.sameContent(line)) {
                        reattributed.add(new Reattribution(earlier, line));
                    }
                });
        return new RuleDiff(
                only(after, before), only(before, after), reattributed, next.widenedScopes(old));
    }

    /** Returns whether no rule and no requester changes. */
    public boolean empty() {
        return added.isEmpty() && removed.isEmpty() && reattributed.isEmpty();
    }

    /** Returns the changes, one per line, marked with {@code +}, {@code -} or {@code ~}. */
    public String text() {
        StringBuilder text = new StringBuilder();
        removed.forEach(line -> text.append("- ").append(line.text()).append('\n'));
        added.forEach(line -> text.append("+ ").append(line.text()).append('\n'));
        reattributed.forEach(
                r ->
                        text.append("~ ")
                                .append(r.after().text())
                                .append("  (was requested by ")
                                .append(r.before().requester().description())
                                .append(")\n"));
        widenedScopes.forEach(
                line -> text.append("! widens the scopes: ").append(line.text()).append('\n'));
        return text.toString();
    }

    private static Map<Rule, RuleLine> byRule(RuleSet set) {
        Map<Rule, RuleLine> lines = new LinkedHashMap<>();
        set.lines().forEach(line -> lines.putIfAbsent(line.rule(), line));
        return lines;
    }

    private static List<RuleLine> only(Map<Rule, RuleLine> one, Map<Rule, RuleLine> other) {
        return one.values().stream().filter(line -> !other.containsKey(line.rule())).toList();
    }
}
