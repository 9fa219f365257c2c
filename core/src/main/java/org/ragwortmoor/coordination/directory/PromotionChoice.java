package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.Comparator;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;

/**
 * Chooses the server that is promoted: of those that have received everything that they must have,
 * the preferred one, or else the ones with the best standing, and of these the one with the highest
 * position.
 */
final class PromotionChoice {
    private PromotionChoice() {}

    /**
     * Returns the server to promote, or none if none has received enough.
     *
     * @param bound position that the server must have received
     * @param preferred id of a server that is chosen before any other
     */
    static Option<ServerRecord> of(
            GroupMembers members, GroupSurvey survey, Position bound, Option<String> preferred) {
        Comparator<GroupMembers.Member> byPreference =
                Comparator.comparing(member -> !preferred.contains(member.server().id()));
        Comparator<GroupMembers.Member> byStanding =
                Comparator.comparing(member -> member.standing().choice());
        Comparator<GroupMembers.Member> byPosition =
                Comparator.comparing(member -> position(member, survey));
        return Option.ofOptional(
                members.members().stream()
                        .filter(m -> m.standing().choice() != ServerStanding.Choice.NEVER)
                        .filter(m -> survey.reached(m.server(), bound))
                        .min(
                                byPreference
                                        .thenComparing(byStanding)
                                        .thenComparing(byPosition.reversed()))
                        .map(GroupMembers.Member::server));
    }

    private static Position position(GroupMembers.Member member, GroupSurvey survey) {
        return survey.status(member.server()).map(ServerStatus::received).getOrElse(Position.ZERO);
    }
}
