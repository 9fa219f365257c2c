package org.ragwortmoor.handback;

import java.util.List;
import org.ragwortmoor.cli.ExitCode;
import org.ragwortmoor.state.rules.Access;
import org.ragwortmoor.state.rules.Decision;
import org.ragwortmoor.state.rules.Rule;
import org.ragwortmoor.state.rules.RuleLine;
import org.ragwortmoor.state.rules.RuleSet;

/**
 * What a version of the rules says about one partner.
 *
 * @param version version of the rules
 * @param rules the rules
 * @param partner name of the partner
 */
record PartnerRules(long version, RuleSet rules, String partner) {
    /** Returns the lines that state which records belong to the partner, in file order. */
    List<RuleLine> partnerLines() {
        return rules.lines().stream()
                .filter(l -> l.rule() instanceof Rule.Partner p && p.name().equals(partner))
                .toList();
    }

    /** Returns whether the line decides whose record it is: the longest matching prefix does. */
    boolean owns(RuleLine line, String group, String key) {
        return rules.partner(group, key).exists(owner -> owner.line() == line.line());
    }

    /** Returns the lines that still admit writes to the partner's records. */
    List<RuleLine> writers() {
        List<RuleLine> grants = rules.accessLines(partner);
        return grants.stream()
                .filter(l -> l.rule() instanceof Rule.Allow a && writes(a))
                .filter(l -> grants.stream().noneMatch(d -> cancels(d, (Rule.Allow) l.rule())))
                .toList();
    }

    private static boolean writes(Rule.AccessRule grant) {
        return grant.operations().includes(Access.WRITE);
    }

    private static boolean cancels(RuleLine line, Rule.Allow allow) {
        return line.rule() instanceof Rule.Deny deny
                && writes(deny)
                && deny.session().covers(allow.session());
    }

    /**
     * Checks that the partner is declared and that the export may read every record under its
     * prefixes, also those of partners whose prefixes lie inside them.
     *
     * @throws HandBackException if not, with the line to add
     */
    void checkReadable(String principal) throws HandBackException {
        if (partnerLines().isEmpty()) {
            throw new HandBackException(
                    ExitCode.REFUSED,
                    "version "
                            + version
                            + " of the rules has no line \"partner "
                            + partner
                            + " GROUP PREFIX\"; apply one");
        }
        for (RuleLine line : rules.lines()) {
            if (line.rule() instanceof Rule.Partner inner && insideOwn(inner)) {
                Decision decision =
                        rules.decide(inner.group(), inner.prefix(), principal, Access.READ);
                if (!decision.allowed()) {
                    throw unreadable(decision.message(), principal, inner.name());
                }
            }
        }
    }

    private boolean insideOwn(Rule.Partner inner) {
        return partnerLines().stream()
                .map(l -> (Rule.Partner) l.rule())
                .anyMatch(
                        own ->
                                own.group().equals(inner.group())
                                        && inner.prefix().startsWith(own.prefix()));
    }

    /** Returns the error for records that the rules withhold from the export. */
    static HandBackException unreadable(String reason, String principal, String owner) {
        return new HandBackException(
                ExitCode.REFUSED,
                reason
                        + "; apply rules with the line \"allow read session="
                        + principal
                        + " partner="
                        + owner
                        + "\" and without a deny line for it");
    }
}
