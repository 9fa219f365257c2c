package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.ragwortmoor.state.endpoint.ReadRecord;

/**
 * The rules of an accepted file. Immutable.
 *
 * <p>A record belongs to the partner with the longest prefix of its key. Sets are equal if they
 * have the same rules and requesters in the same order, regardless of line numbers.
 */
public final class RuleSet {
    /** The rules of an empty file, which forbid nothing. */
    public static final RuleSet EMPTY = of(List.of());

    private final List<RuleLine> lines;
    private final GroupedPrefixes<RuleLine> scopes;
    private final GroupedPrefixes<RuleLine> partners;
    private final GroupedPrefixes<RuleLine> ages;
    private final Map<String, PartnerAccess> access = new HashMap<>();

    private RuleSet(List<RuleLine> lines) {
        this.lines = List.copyOf(lines);
        GroupedPrefixes.Builder<RuleLine> scopePrefixes = new GroupedPrefixes.Builder<>();
        GroupedPrefixes.Builder<RuleLine> partnerPrefixes = new GroupedPrefixes.Builder<>();
        GroupedPrefixes.Builder<RuleLine> agePrefixes = new GroupedPrefixes.Builder<>();
        Map<String, List<RuleLine>> accessLines = new HashMap<>();
        for (RuleLine line : lines) {
            Rule rule = line.rule();
            if (rule instanceof Rule.Scope scope) {
                scopePrefixes.add(scope.group(), scope.prefix(), line);
            } else if (rule instanceof Rule.Partner partner) {
                partnerPrefixes.add(partner.group(), partner.prefix(), line);
                accessLines.computeIfAbsent(partner.name(), p -> new ArrayList<>());
            } else if (rule instanceof Rule.Age age) {
                agePrefixes.add(age.group(), age.prefix(), line);
            } else if (rule instanceof Rule.AccessRule accessRule) {
                accessLines.computeIfAbsent(accessRule.partner(), p -> new ArrayList<>()).add(line);
            }
        }
        scopes = scopePrefixes.build();
        partners = partnerPrefixes.build();
        ages = agePrefixes.build();
        accessLines.forEach((partner, list) -> access.put(partner, new PartnerAccess(list)));
    }

    /** Returns the rules of lines that passed all checks. */
    static RuleSet of(List<RuleLine> lines) {
        return new RuleSet(lines);
    }

    /** Returns the lines in the order of the file. */
    public List<RuleLine> lines() {
        return lines;
    }

    /** Decides whether {@code principal} may access a record. */
    public Decision decide(String group, String key, String principal, Access wanted) {
        RuleLine owner = partners.longest(group, key);
        return owner == null
                ? Decision.NO_PARTNER
                : access.get(((Rule.Partner) owner.rule()).name()).decide(owner, principal, wanted);
    }

    /**
     * Decides whether a scan may be sent. It is forbidden only if no record under the prefix could
     * be visible; otherwise {@link #decideScan} decides on each returned record.
     */
    public Decision decideScanPrefix(String group, String prefix, String principal) {
        Decision decision = decide(group, prefix, principal, Access.READ);
        if (decision.allowed()) {
            return decision;
        }
        for (RuleLine inner : partners.within(group, prefix)) {
            String innerPrefix = ((Rule.Partner) inner.rule()).prefix();
            Decision innerDecision = decide(group, innerPrefix, principal, Access.READ);
            if (innerDecision.allowed()) {
                return innerDecision;
            }
        }
        return decision;
    }

    /**
     * Decides which of the records that a scan returned {@code principal} may read.
     *
     * @param records records that the scan returned
     */
    public ScanDecision decideScan(String group, List<ReadRecord> records, String principal) {
        List<ReadRecord> visible = new ArrayList<>();
        Option<Decision> refusal = Option.none();
        for (ReadRecord found : records) {
            Decision decision = decide(group, found.key(), principal, Access.READ);
            if (decision.allowed()) {
                visible.add(found);
            } else {
                refusal = refusal.orElse(Option.of(decision));
            }
        }
        return new ScanDecision(visible, records.size() - visible.size(), refusal);
    }

    /** Returns whether the record is in a declared scope. */
    public boolean inScope(String group, String key) {
        return scopes.longest(group, key) != null;
    }

    /** Returns whether a scan of {@code prefix} could return a record of a declared scope. */
    public boolean scanTouchesScope(String group, String prefix) {
        return inScope(group, prefix) || scopes.anyWithin(group, prefix);
    }

    /** Returns the scope line that covers a record, if there is one. */
    public Option<RuleLine> scope(String group, String key) {
        return Option.of(scopes.longest(group, key));
    }

    /** Returns the partner line that covers a record, if there is one. */
    public Option<RuleLine> partner(String group, String key) {
        return Option.of(partners.longest(group, key));
    }

    /** Returns the age line that covers a record, if there is one. */
    public Option<RuleLine> age(String group, String key) {
        return Option.of(ages.longest(group, key));
    }

    /**
     * Returns the maximum staleness that reads of a record accept by default.
     *
     * @return the age in milliseconds, or empty if no {@code age} line covers the record
     */
    public OptionalLong acceptedAgeMillis(String group, String key) {
        RuleLine line = ages.longest(group, key);
        return line == null ? OptionalLong.empty() : OptionalLong.of(millis(line));
    }

    /**
     * Returns the maximum staleness that a scan accepts by default: the smallest age among the
     * records that it could return.
     *
     * @return the age in milliseconds, or empty if no line covers the whole prefix
     */
    public OptionalLong acceptedAgeOfScanMillis(String group, String prefix) {
        RuleLine covering = ages.longest(group, prefix);
        if (covering == null) {
            return OptionalLong.empty();
        }
        long smallest = millis(covering);
        for (RuleLine inner : ages.within(group, prefix)) {
            smallest = Math.min(smallest, millis(inner));
        }
        return OptionalLong.of(smallest);
    }

    /** Returns the {@code allow} and {@code deny} lines of a partner in the order of the file. */
    public List<RuleLine> accessLines(String partner) {
        return lines.stream()
                .filter(l -> l.rule() instanceof Rule.AccessRule r && r.partner().equals(partner))
                .toList();
    }

    /**
     * Returns the scopes of this set that {@code old} does not cover. A version that widens the
     * scopes may take effect only after every proxy has prepared it.
     */
    public List<RuleLine> widenedScopes(RuleSet old) {
        return lines.stream()
                .filter(
                        line ->
                                line.rule() instanceof Rule.Scope scope
                                        && !old.inScope(scope.group(), scope.prefix()))
                .toList();
    }

    /** Returns whether {@code next} declares scopes that {@code old} does not cover. */
    public static boolean widensScopes(RuleSet old, RuleSet next) {
        return !next.widenedScopes(old).isEmpty();
    }

    /** Returns the text of a rule file that parses to an equal set. */
    public String text() {
        return lines.stream().map(line -> line.text() + "\n").collect(Collectors.joining());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RuleSet set && content().equals(set.content());
    }

    @Override
    public int hashCode() {
        return content().hashCode();
    }

    private List<RuleLine> content() {
        return lines.stream().map(l -> new RuleLine(0, l.rule(), l.requester())).toList();
    }

    private static long millis(RuleLine line) {
        return ((Rule.Age) line.rule()).millis();
    }
}
