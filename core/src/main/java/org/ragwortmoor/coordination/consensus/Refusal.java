package org.ragwortmoor.coordination.consensus;

import io.vavr.control.Option;
import org.ragwortmoor.state.log.MemberId;

/**
 * A refused proposal; it was not appended.
 *
 * @param leader the leader as far as this node knows
 */
public record Refusal(RefusalKind kind, String detail, Option<MemberId> leader) {
    /** Returns a message that names the reason and the remedy. */
    public String message() {
        String known = leader.map(id -> "; leader: " + id).getOrElse("");
        return kind + ": " + detail + known + "; remedy: " + kind.remedy();
    }
}
