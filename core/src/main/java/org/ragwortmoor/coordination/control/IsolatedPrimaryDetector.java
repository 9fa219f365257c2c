package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortmoor.coordination.control.EndpointDirectory.ReceivedAnnouncement;
import org.ragwortmoor.coordination.control.GroupState.Member;

/**
 * Suspects a primary that does not answer the fetches of a majority of its group.
 *
 * <p>A primary that is partitioned from its group still answers the proxies, so they do not report
 * it as silent, but no write can be confirmed. The replicas detect this by their unanswered
 * fetches. A log end that does not advance is not used as evidence, because a replica may be far
 * behind. Fewer than a majority of replicas are not sufficient, because the remaining replicas and
 * the primary can still confirm writes.
 */
final class IsolatedPrimaryDetector {
    /**
     * Twice the maximum time for which a primary without new entries delays the answer to a fetch
     * (500 ms). Together with the announcement, which may be sent 500 ms later, and the promotion,
     * the write gap stays below 2 s.
     */
    static final long SILENT_MILLIS = 1_000;

    private final EndpointDirectory directory;

    IsolatedPrimaryDetector(EndpointDirectory directory) {
        this.directory = directory;
    }

    /** Returns the reason why the primary is considered isolated from its group, or none. */
    Option<String> suspicion(GroupState group, String primary, long now) {
        Set<String> unanswered = new TreeSet<>();
        for (Member member : group.endpoints().values()) {
            String name = member.info().endpoint();
            if (!name.equals(primary)
                    && directory
                            .alive(group.group(), member, now)
                            .exists(a -> reportsSilentPrimary(a, group))) {
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

    private static boolean reportsSilentPrimary(ReceivedAnnouncement received, GroupState group) {
        return received.status().promisedTerm() == group.term()
                && received.announcement().sourceSilentMillis() >= SILENT_MILLIS;
    }
}
