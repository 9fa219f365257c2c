package org.ragwortmoor.coordination.control;

import java.util.List;
import java.util.Set;
import org.ragwortmoor.state.EndpointInfo;

/** A change of the replicated {@link ControlState}, applied in log order once committed. */
public sealed interface ControlCommand {
    /**
     * A change that an operator asked for.
     *
     * <p>Its result is kept under the operation id, so a resend changes nothing and returns it.
     */
    sealed interface OperatorCommand extends ControlCommand {
        /** Returns the identifier that the operator chose for this operation. */
        String operationId();

        /** Returns the name of the operator. */
        String operator();

        /** Returns the wall-clock time of the request in milliseconds, for display only. */
        long timeMillis();
    }

    /** Records a group with its stated size. */
    record RegisterGroup(String group, int size) implements ControlCommand {}

    /** Adds an endpoint to its group while the group has fewer endpoints than its size. */
    record RegisterEndpoint(String group, EndpointInfo info) implements ControlCommand {}

    /**
     * Counts a new incarnation of a registered endpoint in the place of the one that lost its data.
     *
     * @param term term of the group in which the new incarnation was seen to hold the log
     */
    record ReadmitEndpoint(String group, EndpointInfo info, long term) implements ControlCommand {}

    /** Records a changed address, failure domain, slot count or limit of an incarnation. */
    record EndpointAddressChanged(String group, EndpointInfo info) implements ControlCommand {}

    /** Records that an endpoint announced that it is leaving, or that it stays after all. */
    record EndpointLeaving(String group, String endpoint, boolean leaving)
            implements ControlCommand {}

    /** Opens {@code term} for a promotion; no other promotion of a lower term can complete. */
    record BeginPromotion(String group, long term, String reason) implements ControlCommand {}

    /** Decides the primary of {@code term}; one per term is accepted. */
    record CompletePromotion(String group, long term, String primary) implements ControlCommand {}

    /** Makes a proxy a member. */
    record MemberProxyJoined(String proxy, String failureDomain) implements ControlCommand {}

    /** Lets a member use its floor, after the leader has reserved it at every endpoint. */
    record GrantFloor(String proxy) implements ControlCommand {}

    /** Removes a proxy that is gone. */
    record MemberProxyRemoved(String proxy, String reason) implements ControlCommand {}

    /**
     * Activates the pending rules.
     *
     * @param prepared the proxies that prepared them; refused unless every member is among them
     */
    record ActivateRules(long version, List<String> prepared) implements ControlCommand {
        /** Copies the list. */
        public ActivateRules {
            prepared = List.copyOf(prepared);
        }
    }

    /** Records that a version is in force on every proxy. */
    record RulesInForce(long version, long timeMillis) implements ControlCommand {}

    /**
     * Accepts a rule file that does not widen the scopes.
     *
     * @param expectedVersion accepted version on which the operator based the file
     * @param scopes scopes that the text declares
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

    /** Makes a rule file that widens the scopes pending; the fields are as in ApplyRules. */
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

    /** Gives up a pending rule file. */
    record WithdrawRules(String operationId, long version, String operator, long timeMillis)
            implements OperatorCommand {}

    /** Keeps new work away from an endpoint ({@code drained}) or ends that. */
    record DrainEndpoint(
            String operationId,
            String group,
            String endpoint,
            boolean drained,
            String operator,
            long timeMillis)
            implements OperatorCommand {}

    /** Removes a proxy that an operator knows to be stopped. */
    record RemoveProxy(String operationId, String proxy, String operator, long timeMillis)
            implements OperatorCommand {}

    /**
     * Puts an endpoint in the place of a registered one, without proof that it holds the log.
     *
     * <p>The operator accepts that writes acknowledged with the replaced endpoint may be missing.
     *
     * @param replaced identifier of the registered endpoint
     * @param info the endpoint that takes its place; may have the same identifier
     */
    record ReplaceEndpoint(
            String operationId,
            String group,
            String replaced,
            EndpointInfo info,
            String operator,
            long timeMillis)
            implements OperatorCommand {}

    /** Adds a key for session tokens; it is the newest from then on. */
    record AddTokenKey(String operationId, TokenKey key, String operator, long timeMillis)
            implements OperatorCommand {}
}
