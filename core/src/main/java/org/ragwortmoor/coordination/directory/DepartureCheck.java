package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.Departure;
import org.ragwortmoor.state.directory.ServerRecord;

/**
 * Finds out when the commits of servers that have ended are held by the servers that remain.
 *
 * <p>A server that leaves may be the only replica that has received the newest acknowledged
 * commits. Once as many of the others as a commit needs have received the log up to where the
 * primary was after the server had ended, the ended server is not needed any more.
 */
final class DepartureCheck {
    private final GroupSurvey survey = new GroupSurvey();
    private long checkedIndex;
    private Option<Position> required = Option.none();
    private long nextSurveyAt;

    /** Discards what was found out. */
    void reset() {
        checkedIndex = 0;
        required = Option.none();
        survey.start();
    }

    void record(ServerRecord server, ServerStatus status) {
        survey.record(server, status);
    }

    /** Returns the actions that are due. */
    List<FailoverAction> tick(String group, GroupMembers members, int syncReplicas, long now) {
        if (members.departures().isEmpty()) {
            return List.of();
        }
        List<Departure> departures = members.departures();
        long newest = departures.get(departures.size() - 1).index();
        if (newest != checkedIndex) {
            reset();
            checkedIndex = newest;
            // Answers to surveys that were started before the departure do not count.
            nextSurveyAt = now + FailoverSettings.MAX_SURVEY_NANOS;
        }
        if (now - nextSurveyAt < 0) {
            return List.of();
        }
        List<ServerRecord> servers = members.servers();
        Option<ServerRecord> primary = survey.primary(servers);
        if (primary.isDefined() && required.isEmpty()) {
            required = survey.status(primary.get()).map(ServerStatus::received);
        }
        nextSurveyAt = now + FailoverSettings.DEPARTURE_CHECK_NANOS;
        if (primary.isDefined() && holders(servers, primary.get()) >= syncReplicas) {
            return List.of(new FailoverAction.ConfirmReplication(group, newest));
        }
        if (primary.isEmpty()) {
            required = Option.none();
        }
        survey.start();
        return servers.stream().map(s -> (FailoverAction) new FailoverAction.Survey(s)).toList();
    }

    private long holders(List<ServerRecord> servers, ServerRecord primary) {
        return servers.stream()
                .filter(s -> !s.id().equals(primary.id()))
                .filter(s -> required.exists(position -> survey.reached(s, position)))
                .count();
    }
}
