package org.ragwortmoor.coordination.consensus;

import io.vavr.control.Option;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;

/** Formats a node's state as lines of text. */
final class StateDump {
    private StateDump() {}

    static String of(NodeState state, ClusterStatus status, Option<Position> pendingPosition) {
        StringBuilder text = new StringBuilder();
        text.append("self ").append(state.self).append(" role ").append(state.role);
        text.append(" term ").append(state.term);
        text.append(" voted for ").append(name(state.votedFor));
        text.append(" leader ").append(name(state.leader));
        text.append(" ready ").append(status.leaderReady()).append('\n');
        text.append("log base ").append(state.log.baseIndex());
        text.append(" last ").append(state.log.last());
        text.append(" synced ").append(state.syncedIndex);
        text.append(" committed ").append(state.commitIndex);
        text.append(" applied ").append(state.appliedIndex);
        text.append(" snapshot ").append(state.snapshotIndex());
        text.append(" answer waits for ").append(pendingPosition.getOrNull()).append('\n');
        for (Member member : status.configuration().members()) {
            text.append("member ").append(member.id()).append(" at ").append(member.address());
            text.append(member.voter() ? " voter " : " learner ");
            text.append(status.progress().get(member.id())).append('\n');
        }
        text.append("strangers ").append(status.nonMembers()).append('\n');
        return text.toString();
    }

    private static String name(Option<MemberId> id) {
        return id.map(MemberId::toString).getOrElse("-");
    }
}
