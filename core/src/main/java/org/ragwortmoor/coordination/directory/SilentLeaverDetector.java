package org.ragwortmoor.coordination.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;

/**
 * Detects servers that have announced that they leave, and have ended without a further message.
 *
 * <p>Such a server would otherwise count for good as one that may hold acknowledged commits, and a
 * promotion would wait for its answer.
 */
final class SilentLeaverDetector {
    private final Map<String, Leaver> leavers = new HashMap<>();

    private static final class Leaver {
        final long startedAtMillis;
        long nextSurveyAt;
        int unanswered;

        Leaver(long startedAtMillis, long now) {
            this.startedAtMillis = startedAtMillis;
            this.nextSurveyAt = now + FailoverSettings.MAX_LEAVING_NANOS;
        }
    }

    /** Discards what was found out. */
    void reset() {
        leavers.clear();
    }

    /** Records that a server has answered. */
    void record(ServerRecord server) {
        Leaver leaver = leavers.get(server.id());
        if (leaver != null) {
            leaver.unanswered = 0;
        }
    }

    /**
     * Returns the actions that are due.
     *
     * @param servers the servers of the group that have not ended
     */
    List<FailoverAction> tick(List<ServerRecord> servers, long now) {
        List<FailoverAction> actions = new ArrayList<>();
        for (ServerRecord server : servers) {
            if (server.state() != ServerState.DRAINING) {
                continue;
            }
            Leaver leaver = leavers.get(server.id());
            if (leaver == null || leaver.startedAtMillis != server.startedAtMillis()) {
                leaver = new Leaver(server.startedAtMillis(), now);
                leavers.put(server.id(), leaver);
            }
            if (now - leaver.nextSurveyAt < 0) {
                continue;
            }
            leaver.nextSurveyAt = now + FailoverSettings.MAX_SURVEY_NANOS;
            boolean ended = leaver.unanswered >= FailoverSettings.SURVEYS_OF_LEAVER;
            leaver.unanswered++;
            actions.add(
                    ended
                            ? new FailoverAction.RecordEnd(server)
                            : new FailoverAction.Survey(server));
        }
        leavers.keySet().removeIf(id -> servers.stream().noneMatch(s -> s.id().equals(id)));
        return actions;
    }
}
