package org.ragwortmoor.coordination.control;

import java.util.List;
import java.util.Set;
import org.ragwortmoor.state.EndpointInfo;

/** A change to the replicated {@link ControlState}, applied in log order after it was committed. */
public sealed interface ControlCommand {
    /**
     * A change that an operator requested.
     *
     * <p>The result is stored under the operation id, so a retry returns it and changes nothing.
     */
    sealed interface OperatorCommand extends ControlCommand {
        /** Returns the operation id that the operator's tool chose. */
        String operationId();

        /** Returns the name of the operator. */
        String operator();

        /** Returns the wall-clock time of the request in milliseconds, for display only. */
        long timeMillis();
    }

    /** Registers a group with its configured size. */
    record RegisterGroup(String group, int size) implements ControlCommand {}

    /** Adds an endpoint to its group while the group has fewer endpoints than its size. */
    record RegisterEndpoint(String group, EndpointInfo info) implements ControlCommand {}

    /**
     * Replaces the registered incarnation of an endpoint, which lost its data, by a new
     * incarnation.
     *
     * @param term term of the group in which the new incarnation was observed to hold the primary's
     *     log
     */
    record ReadmitEndpoint(String group, EndpointInfo info, long term) implements ControlCommand {}

    /**
     * Records a changed address, failure domain, slot count or connection limit of an incarnation.
     */
    record EndpointAddressChanged(String group, EndpointInfo info) implements ControlCommand {}

    /** Records whether an endpoint announced that it is leaving. */
    record EndpointLeaving(String group, String endpoint, boolean leaving)
            implements ControlCommand {}

    /** Begins a promotion in {@code term}; promotions in lower terms can no longer complete. */
    record BeginPromotion(String group, long term, String reason) implements ControlCommand {}

    /** Decides the primary of {@code term}; accepted once per term. */
    record CompletePromotion(String group, long term, String primary) implements ControlCommand {}

    /** Adds a proxy to the members. */
    record MemberProxyJoined(String proxy, String failureDomain) implements ControlCommand {}

    /**
     * Allows a member to use its floor (guaranteed connections) after the leader reserved it at
     * every endpoint.
     */
    record GrantFloor(String proxy) implements ControlCommand {}

    /** Removes a member that stopped or has not reported for a long time. */
    record MemberProxyRemoved(String proxy, String reason) implements ControlCommand {}

    /**
     * Activates the pending rules.
     *
     * @param prepared proxies that prepared the rules; the command is refused unless they include
     *     every member
     */
    record ActivateRules(long version, List<String> prepared) implements ControlCommand {
        /** Copies the list. */
        public ActivateRules {
            prepared = List.copyOf(prepared);
        }
    }

    /** Records that a rule version is in force on every proxy. */
    record RulesInForce(long version, long timeMillis) implements ControlCommand {}

    /**
     * Accepts a rule file whose scopes are all covered by the current scopes.
     *
     * @param expectedVersion accepted version that the operator's file is based on
     * @param scopes scopes declared in the text
     */
    record ApplyRules(
            String operationId,
            long expectedVersion,
            String text,
            Set<RuleScope> scopes,
            String operator,
            long timeMillis)
            implements OperatorCommand {
        /** Copies the set. */
        public ApplyRules {
            scopes = Set.copyOf(scopes);
        }
    }

    /**
     * Records a rule file that widens the scopes as pending; see {@link ApplyRules} for the
     * parameters.
     */
    record PrepareRules(
            String operationId,
            long expectedVersion,
            String text,
            Set<RuleScope> scopes,
            String operator,
            long timeMillis)
            implements OperatorCommand {
        /** Copies the set. */
        public PrepareRules {
            scopes = Set.copyOf(scopes);
        }
    }

    /** Withdraws a pending rule file. */
    record WithdrawRules(String operationId, long version, String operator, long timeMillis)
            implements OperatorCommand {}

    /**
     * Starts ({@code drained}) or ends the drain of an endpoint, which gets no new work meanwhile.
     */
    record DrainEndpoint(
            String operationId,
            String group,
            String endpoint,
            boolean drained,
            String operator,
            long timeMillis)
            implements OperatorCommand {}

    /** Removes a member that the operator knows to be stopped. */
    record RemoveProxy(String operationId, String proxy, String operator, long timeMillis)
            implements OperatorCommand {}

    /**
     * Replaces a registered endpoint without proof that the new endpoint holds the log.
     *
     * <p>Writes that were acknowledged with the help of the replaced endpoint may be lost; the
     * operator accepts this risk.
     *
     * @param replaced identifier of the registered endpoint to remove
     * @param info endpoint to add; may have the same identifier
     */
    record ReplaceEndpoint(
            String operationId,
            String group,
            String replaced,
            EndpointInfo info,
            String operator,
            long timeMillis)
            implements OperatorCommand {}

    /** Adds a key for session tokens, which becomes the newest key. */
    record AddTokenKey(String operationId, TokenKey key, String operator, long timeMillis)
            implements OperatorCommand {}
}
