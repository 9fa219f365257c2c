package org.ragwortmoor.state.log;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;

/**
 * The membership of the control group.
 *
 * @param members voters and learners, each with the incarnation under which it joined
 */
public record Configuration(List<Member> members) {
    /** The configuration of a node with an empty log. */
    public static final Configuration EMPTY = new Configuration(List.of());

    /** Copies the list. */
    public Configuration {
        members = List.copyOf(members);
    }

    /** Returns the identities of the members that count towards majorities. */
    public List<MemberId> voters() {
        return members.stream().filter(Member::voter).map(Member::id).toList();
    }

    /** Returns whether {@code id} is a voter with exactly this incarnation. */
    public boolean isVoter(MemberId id) {
        return member(id).exists(Member::voter);
    }

    /** Returns the member with exactly this identity. */
    public Option<Member> member(MemberId id) {
        return Option.ofOptional(members.stream().filter(m -> m.id().equals(id)).findFirst());
    }

    /** Returns all members with this node id, of any incarnation. */
    public List<Member> membersOf(String node) {
        return members.stream().filter(m -> m.id().node().equals(node)).toList();
    }

    /** Returns the number of voters that form a majority. */
    public int majority() {
        return voters().size() / 2 + 1;
    }

    /** Returns this configuration with {@code member} added or replaced. */
    public Configuration with(Member member) {
        List<Member> changed = new ArrayList<>(without(member.id()).members);
        changed.add(member);
        return new Configuration(changed);
    }

    /** Returns this configuration without the member that has exactly this identity. */
    public Configuration without(MemberId id) {
        return new Configuration(members.stream().filter(m -> !m.id().equals(id)).toList());
    }
}
