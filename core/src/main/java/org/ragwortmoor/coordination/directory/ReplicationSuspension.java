package org.ragwortmoor.coordination.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.directory.ServerRecord;

/**
 * The suspension of the replicas of one group, from the record that replicas may be suspended until
 * each of them has confirmed that it receives again.
 *
 * <p>The record is in the replicated directory, so a new leader continues where its predecessor
 * ended. Whoever holds a suspension also has to release it: replicas that stay suspended keep a
 * group with synchronous replicas from acknowledging commits.
 */
final class ReplicationSuspension {
    private final String group;
    private final InstructionSchedule schedule =
            new InstructionSchedule(
                    FailoverSettings.SUSPENSION_INTERVAL_NANOS,
                    FailoverSettings.MAX_INSTRUCTION_INTERVAL_NANOS);

    /** What the servers have last reported, by id. */
    private final Map<String, Report> reports = new HashMap<>();

    private boolean releasing;
    private long highestTerm;
    private long nextRecordAt;
    private long quietAt;

    private record Report(long startedAtMillis, long suspendedTerm) {}

    ReplicationSuspension(String group) {
        this.group = group;
    }

    /** Discards the state of an earlier leadership. */
    void reset(long now) {
        releasing = false;
        highestTerm = 0;
        forgetReports();
        // An instruction of the predecessor may still arrive.
        quietAt = now + FailoverSettings.MAX_SURVEY_NANOS;
    }

    private void forgetReports() {
        reports.clear();
        schedule.clear();
    }

    /**
     * Returns whether no instruction to resume is on its way, which would undo a later suspension.
     */
    boolean quiet(long now) {
        return now - quietAt >= 0;
    }

    /** Holds the suspension until it is released. */
    void hold() {
        if (releasing) {
            releasing = false;
            forgetReports();
        }
    }

    /** Releases the suspension: the replicas are resumed until each has confirmed it. */
    void release(long now) {
        if (!releasing) {
            releasing = true;
            forgetReports();
            nextRecordAt = now;
        }
    }

    boolean releasing() {
        return releasing;
    }

    /** Records a status, which shows whether the server is suspended. */
    void record(ServerRecord server, ServerStatus status) {
        highestTerm = Math.max(highestTerm, status.term());
        reports.put(
                server.id(),
                new Report(
                        server.startedAtMillis(), status.suspended() ? status.suspendedTerm() : 0));
    }

    /**
     * Suspends the servers that have not confirmed it, for example because they have started again,
     * as long as a promotion may be carried out.
     *
     * @param servers the servers of the group that have not ended
     */
    List<FailoverAction> keep(List<ServerRecord> servers, long now) {
        List<FailoverAction> actions = new ArrayList<>();
        for (ServerRecord server : servers) {
            if (!releasing && !suspended(server) && schedule.send(server, now)) {
                actions.add(suspend(server, highestTerm));
            }
        }
        return actions;
    }

    /**
     * Returns the actions that are due while the suspension is released.
     *
     * @param servers the servers of the group that have not ended
     */
    List<FailoverAction> tick(List<ServerRecord> servers, long now) {
        if (!releasing) {
            return List.of();
        }
        List<FailoverAction> actions = new ArrayList<>();
        boolean complete = true;
        for (ServerRecord server : servers) {
            if (!resumed(server)) {
                complete = false;
                if (schedule.send(server, now)) {
                    actions.add(new FailoverAction.ResumeReplication(server));
                }
            }
        }
        if (complete && now - nextRecordAt >= 0) {
            nextRecordAt = now + FailoverSettings.RECORD_RETRY_NANOS;
            actions.add(new FailoverAction.RecordSuspension(group, false));
        }
        if (!actions.isEmpty()) {
            quietAt = now + FailoverSettings.MAX_SURVEY_NANOS;
        }
        return actions;
    }

    private boolean suspended(ServerRecord server) {
        Report report = reports.get(server.id());
        return report != null
                && report.startedAtMillis() == server.startedAtMillis()
                && report.suspendedTerm() > highestTerm;
    }

    private boolean resumed(ServerRecord server) {
        Report report = reports.get(server.id());
        return report != null
                && report.startedAtMillis() == server.startedAtMillis()
                && report.suspendedTerm() == 0;
    }

    /**
     * Returns the instruction to suspend a server.
     *
     * @param highestTerm highest term that a server of the group has reported
     */
    static FailoverAction.SuspendReplication suspend(ServerRecord server, long highestTerm) {
        return new FailoverAction.SuspendReplication(
                server, highestTerm + FailoverSettings.MISSED_PROMOTIONS);
    }
}
