package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortmoor.coordination.control.EndpointDirectory.Seen;
import org.ragwortmoor.coordination.control.GroupState.Member;

/**
 * Suspects a primary that a majority of its group hears nothing from.
 *
 * <p>A primary that is cut off from its group still answers the proxies, so they do not report it
 * as silent, but no write can be confirmed. The replicas know: their fetches stay unanswered. A log
 * end that does not advance is no evidence, because a replica may be far behind; and fewer than a
 * majority are none, because the others and the primary still confirm writes.
 */
final class IsolatedPrimary {
    /**
     * Twice the time for which a primary without news holds a fetch back (500 ms). With the
     * announcement, up to 500 ms later, and the promotion the write gap stays below 2 s.
     */
    static final long SILENT_MILLIS = 1_000;

    private final EndpointDirectory directory;

    IsolatedPrimary(EndpointDirectory directory) {
        this.directory = directory;
    }

    /** Returns why the primary counts as cut off from its group, if it does. */
    Option<String> suspicion(GroupState group, String primary, long now) {
        Set<String> unanswered = new TreeSet<>();
        for (Member member : group.endpoints().values()) {
            String name = member.info().endpoint();
            if (!name.equals(primary)
                    && directory.alive(group.group(), member, now).exists(s -> lost(s, group))) {
                unanswered.add(name);
            }
        }
        if (unanswered.size() < group.majority()) {
            return Option.none();
        }
        return Option.of(
                "primary %s answered no fetch of %s for %d ms"
                        .formatted(primary, String.join(", ", unanswered), SILENT_MILLIS));
    }

    private static boolean lost(Seen seen, GroupState group) {
        return seen.status().promisedTerm() == group.term()
                && seen.announcement().sourceSilentMillis() >= SILENT_MILLIS;
    }
}
