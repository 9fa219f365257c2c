package org.ragwortmoor.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** What a control process offers to operators. */
public interface ControlApi {
    /** Applies a rule file. */
    CompletionStage<OperatorAnswer> applyRules(ApplyBody body);

    /** Returns the newest rule file. */
    OperatorAnswer rules();

    /** Returns who applied which version and when. */
    OperatorAnswer rulesHistory();

    /** Returns a backup of the replicated state, which holds the token keys. */
    OperatorAnswer backup();

    /** Announces that an endpoint is leaving. */
    CompletionStage<OperatorAnswer> drainEndpoint(EndpointBody body);

    /** Removes a proxy that was stopped from the members. */
    CompletionStage<OperatorAnswer> removeProxy(ProxyBody body);

    /** Replaces a control member that lost its disk. */
    CompletionStage<OperatorAnswer> repair(RepairBody body);

    /**
     * A rule file to apply.
     *
     * @param text the file
     * @param expectVersion version that the operator saw last; 0 if there is none
     * @param operationId identifier of this operation, the same when it is sent again
     * @param operator who applies the file
     */
    record ApplyBody(String text, Long expectVersion, String operationId, String operator) {}

    /** Names an endpoint. */
    record EndpointBody(String group, String endpoint, String operationId, String operator) {}

    /** Names a proxy. */
    record ProxyBody(String proxy, String operationId, String operator) {}

    /** Names a control member by its node identifier. */
    record RepairBody(String node, String operationId, String operator) {}

    /**
     * The answer to an operator.
     *
     * @param outcome {@code done}, {@code pending}, {@code not-run}, {@code unknown} or {@code
     *     not-leader}
     * @param message what happened and what to do next
     * @param leader HTTP address of the leader if this process is not the leader and knows it
     * @param body details
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record OperatorAnswer(String outcome, String kind, String message, String leader, Object body) {
        /** Returns an answer for a completed operation. */
        public static OperatorAnswer done(String message, Object body) {
            return new OperatorAnswer("done", null, message, null, body);
        }

        /** Returns an answer for an operation that had no effect. */
        public static OperatorAnswer notRun(String kind, String message) {
            return new OperatorAnswer("not-run", kind, message, null, null);
        }

        /** Returns an answer that sends the operator to the leader. */
        public static OperatorAnswer notLeader(String leader) {
            String message = "this process is not the leader; ask the leader or another member";
            return new OperatorAnswer("not-leader", "NOT_LEADER", message, leader, null);
        }
    }

    /**
     * A backup.
     *
     * @param file content of the backup file in base64
     */
    record BackupBody(String file) {}

    /** One line of the rule history. */
    record HistoryLine(
            long version, String operator, long appliedAtMillis, String operationId, int lines) {}

    /**
     * The newest rule file.
     *
     * @param awaitsConfirmation whether the version was made by a restore and no proxy gets it
     */
    record RulesBody(
            long version,
            String text,
            boolean inForce,
            List<String> waitingFor,
            long pending,
            boolean awaitsConfirmation) {}
}
