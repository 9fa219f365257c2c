package org.ragwortmoor.coordination.control;

import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.GroupView;

/**
 * A group in the replicated state.
 *
 * @param group name of the group
 * @param size stated number of endpoints
 * @param endpoints the counted endpoints by identifier, never more than {@code size}
 * @param begunTerm newest term that was opened; above {@code term} while a promotion is under way
 * @param reason why the newest promotion was begun
 * @param term newest term with a primary; 0 before the first
 * @param primary primary of {@code term}
 * @param revision revision of the state at the last change that proxies must learn
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
     * A counted endpoint.
     *
     * @param info as announced by the counted incarnation
     * @param drained whether an operator keeps new work away from it
     */
    public record Member(EndpointInfo info, boolean drained) {
        /** Returns whether the endpoint gets no new work. */
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

    /** Returns whether a promotion was begun and has no primary yet. */
    public boolean promoting() {
        return begunTerm > term;
    }

    /** Returns the group as proxies see it. */
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
