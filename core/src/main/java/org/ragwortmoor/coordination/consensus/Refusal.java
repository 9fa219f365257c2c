package org.ragwortmoor.coordination.consensus;

import io.vavr.control.Option;
import org.ragwortmoor.state.log.MemberId;

/**
 * The reason why a proposal was refused; the proposal was not appended and never will be.
 *
 * @param leader the current leader, if known to this node
 */
public record Refusal(RefusalKind kind, String detail, Option<MemberId> leader) {
    /** Returns a message with the reason, the known leader and the remedy. */
    public String message() {
        String known = leader.map(id -> "; leader: " + id).getOrElse("");
        return kind + ": " + detail + known + "; remedy: " + kind.remedy();
    }
}
