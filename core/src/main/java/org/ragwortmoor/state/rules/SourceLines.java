package org.ragwortmoor.state.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** The lines of a file that could be parsed, with indexes that are shared by the checks. */
final class SourceLines {
    private final List<SourceLine> lines;
    private final Map<String, List<SourceLine>> accessLines = new HashMap<>();
    private final GroupedPrefixes<SourceLine> scopes;
    private final GroupedPrefixes<SourceLine> partners;
    private final GroupedPrefixes<SourceLine> ages;

    SourceLines(List<SourceLine> lines) {
        this.lines = List.copyOf(lines);
        this.scopes = index(Rule.Scope.class, Rule.Scope::group, Rule.Scope::prefix);
        this.partners = index(Rule.Partner.class, Rule.Partner::group, Rule.Partner::prefix);
        this.ages = index(Rule.Age.class, Rule.Age::group, Rule.Age::prefix);
        for (SourceLine line : lines) {
            if (line.rule() instanceof Rule.AccessRule accessRule) {
                accessLines.computeIfAbsent(accessRule.partner(), p -> new ArrayList<>()).add(line);
            }
        }
    }

    List<SourceLine> all() {
        return lines;
    }

    /** Returns the lines with a rule of {@code type}. */
    List<SourceLine> of(Class<? extends Rule> type) {
        return lines.stream().filter(line -> type.isInstance(line.rule())).toList();
    }

    /** Returns the {@code allow} and {@code deny} lines of a partner. */
    List<SourceLine> accessLines(String partner) {
        return accessLines.getOrDefault(partner, List.of());
    }

    /** Returns the scope lines by prefix; of several lines with the same prefix, only the first. */
    GroupedPrefixes<SourceLine> scopes() {
        return scopes;
    }

    /**
     * Returns the partner lines by prefix; of several lines with the same prefix, only the first.
     */
    GroupedPrefixes<SourceLine> partners() {
        return partners;
    }

    /** Returns the age lines by prefix; of several lines with the same prefix, only the first. */
    GroupedPrefixes<SourceLine> ages() {
        return ages;
    }

    private <R extends Rule> GroupedPrefixes<SourceLine> index(
            Class<R> type, Function<R, String> group, Function<R, String> prefix) {
        GroupedPrefixes.Builder<SourceLine> builder = new GroupedPrefixes.Builder<>();
        for (SourceLine line : of(type)) {
            R rule = type.cast(line.rule());
            builder.add(group.apply(rule), prefix.apply(rule), line);
        }
        return builder.build();
    }
}
