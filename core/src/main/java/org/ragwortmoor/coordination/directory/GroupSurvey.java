package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;

/**
 * The statuses that the servers of a group have reported in one survey. An answer counts only for
 * the incarnation that gave it, since a server that has started again may receive commits again.
 */
final class GroupSurvey {
    private final Map<String, Answer> answers = new LinkedHashMap<>();

    private record Answer(long startedAtMillis, ServerStatus status) {}

    /** Starts a survey anew. */
    void start() {
        answers.clear();
    }

    void record(ServerRecord server, ServerStatus status) {
        answers.put(server.id(), new Answer(server.startedAtMillis(), status));
    }

    /** Discards the answer of a server. */
    void discard(ServerRecord server) {
        answers.remove(server.id());
    }

    /** Discards the answers of servers whose suspension is not above a term. */
    void discardSuspendedBelow(long term) {
        answers.values().removeIf(answer -> answer.status().suspendedTerm() <= term);
    }

    Option<ServerStatus> status(ServerRecord server) {
        Answer answer = answers.get(server.id());
        return answer != null && answer.startedAtMillis() == server.startedAtMillis()
                ? Option.some(answer.status())
                : Option.none();
    }

    /** Returns those of the servers that have not answered. */
    List<ServerRecord> unanswered(List<ServerRecord> servers) {
        return servers.stream().filter(s -> status(s).isEmpty()).toList();
    }

    /** Returns those of the servers that have answered. */
    List<ServerRecord> answered(List<ServerRecord> servers) {
        return servers.stream().filter(s -> status(s).isDefined()).toList();
    }

    /** Returns the server that leads the group, if one of the servers has said so. */
    Option<ServerRecord> primary(List<ServerRecord> servers) {
        Option<ServerRecord> found = Option.none();
        for (ServerRecord server : servers) {
            boolean leads = status(server).exists(ServerStatus::primary);
            if (leads && found.forAll(f -> term(f) < term(server))) {
                found = Option.some(server);
            }
        }
        return found;
    }

    private long term(ServerRecord server) {
        return status(server).map(ServerStatus::term).getOrElse(0L);
    }

    /** Returns the highest term that any of the servers has reported. */
    long highestTerm(List<ServerRecord> servers) {
        return servers.stream().mapToLong(this::term).max().orElse(0);
    }

    /** Returns the reported positions by server id. */
    Map<String, Position> positions(List<ServerRecord> servers) {
        Map<String, Position> found = new HashMap<>();
        for (ServerRecord server : servers) {
            status(server).forEach(s -> found.put(server.id(), s.received()));
        }
        return found;
    }

    /** Returns whether a server has received the log up to a position. */
    boolean reached(ServerRecord server, Position position) {
        return status(server).exists(s -> s.received().compareTo(position) >= 0);
    }

    /** Returns the positions by server, for logs. */
    String describe(List<ServerRecord> servers) {
        List<String> positions = new ArrayList<>();
        for (ServerRecord server : servers) {
            status(server).forEach(s -> positions.add(server.id() + "=" + s.received()));
        }
        return "{" + String.join(", ", positions) + "}";
    }
}
