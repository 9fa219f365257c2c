package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Decides which sessions may access the records of one partner. */
final class PartnerAccess {
    private final Map<Access, SessionMatcher> allowed = new EnumMap<>(Access.class);
    private final Map<Access, SessionMatcher> denied = new EnumMap<>(Access.class);

    /** Creates an instance from the {@code allow} and {@code deny} lines of the partner. */
    PartnerAccess(List<RuleLine> accessLines) {
        for (Access access : Access.values()) {
            allowed.put(access, matcher(accessLines, access, Rule.Allow.class));
            denied.put(access, matcher(accessLines, access, Rule.Deny.class));
        }
    }

    Decision decide(RuleLine partnerLine, String principal, Access access) {
        RuleLine deny = denied.get(access).find(principal);
        if (deny != null) {
            return new Decision(Decision.Reason.DENIED, Option.of(deny));
        }
        RuleLine allow = allowed.get(access).find(principal);
        return allow != null
                ? new Decision(Decision.Reason.ADMITTED, Option.of(allow))
                : new Decision(Decision.Reason.NOT_ADMITTED, Option.of(partnerLine));
    }

    private static SessionMatcher matcher(
            List<RuleLine> accessLines, Access access, Class<? extends Rule.AccessRule> kind) {
        return new SessionMatcher(
                accessLines.stream()
                        .filter(line -> kind.isInstance(line.rule()))
                        .filter(
                                line ->
                                        ((Rule.AccessRule) line.rule())
                                                .operations()
                                                .includes(access))
                        .toList());
    }
}
