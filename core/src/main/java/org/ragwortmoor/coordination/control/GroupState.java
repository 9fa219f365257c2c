package org.ragwortmoor.coordination.control;

import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.GroupView;

/**
 * The replicated state of a group.
 *
 * @param group name of the group
 * @param size configured number of endpoints
 * @param endpoints member endpoints by identifier, never more than {@code size}
 * @param begunTerm newest term in which a promotion was begun; above {@code term} while a promotion
 *     is in progress
 * @param reason reason of the newest promotion
 * @param term newest term with a decided primary; 0 if none
 * @param primary primary of {@code term}
 * @param revision revision of the state at the last change that must be sent to proxies
 */
public record GroupState(
        String group,
        int size,
        TreeMap<String, Member> endpoints,
        long begunTerm,
        String reason,
        long term,
        Option<String> primary,
        long revision) {
    /**
     * A member endpoint.
     *
     * @param info as announced by the registered incarnation
     * @param drained whether an operator drained the endpoint
     */
    public record Member(EndpointInfo info, boolean drained) {
        /** Returns whether the endpoint must get no new work. */
        public boolean leaving() {
            return drained || info.leaving();
        }
    }

    static GroupState create(String group, int size, long revision) {
        return new GroupState(group, size, TreeMap.empty(), 0, "", 0, Option.none(), revision);
    }

    /** Returns the number of endpoints that form a majority. */
    public int majority() {
        return size / 2 + 1;
    }

    /** Returns whether a promotion is in progress. */
    public boolean promoting() {
        return begunTerm > term;
    }

    /** Returns the view of the group that is sent to proxies. */
    public GroupView view() {
        return new GroupView(
                group,
                size,
                term,
                primary,
                endpoints.values().map(m -> withLeaving(m.info(), m.leaving())).asJava());
    }

    GroupState withMember(Member member, long newRevision) {
        return new GroupState(
                group,
                size,
                endpoints.put(member.info().endpoint(), member),
                begunTerm,
                reason,
                term,
                primary,
                newRevision);
    }

    GroupState withoutMember(String endpoint) {
        return new GroupState(
                group,
                size,
                endpoints.remove(endpoint),
                begunTerm,
                reason,
                term,
                primary,
                revision);
    }

    GroupState begun(long newTerm, String newReason) {
        return new GroupState(group, size, endpoints, newTerm, newReason, term, primary, revision);
    }

    GroupState completed(String newPrimary, long newRevision) {
        return new GroupState(
                group,
                size,
                endpoints,
                begunTerm,
                reason,
                begunTerm,
                Option.of(newPrimary),
                newRevision);
    }

    static EndpointInfo withLeaving(EndpointInfo info, boolean leaving) {
        return new EndpointInfo(
                info.endpoint(),
                info.incarnation(),
                info.address(),
                info.failureDomain(),
                info.slots(),
                info.connectionLimit(),
                leaving);
    }
}
