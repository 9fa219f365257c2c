package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.coordination.control.EndpointDirectory.ReceivedAnnouncement;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Readmits a new incarnation of an endpoint once it holds all writes that the lost incarnation can
 * have held.
 *
 * <p>Writes that were acknowledged with the help of the lost data are in the primary's log. The
 * primary is asked for the end of its log after the new incarnation was observed. Once the new
 * incarnation contains that position in the same term, it replaces the lost incarnation. Its
 * promises do not count before, since a majority that includes an empty log could miss acknowledged
 * writes.
 */
final class ReadmissionTracker {
    /**
     * Time for which the new incarnation must announce itself without interruption. If both
     * incarnations announce themselves, the configuration is wrong.
     */
    private static final long STABLE_NANOS = 2_000_000_000L;

    private final String group;
    private final ControlContext context;
    private final EndpointCalls calls;
    private final Map<String, CatchUpTarget> targets = new HashMap<>();

    /**
     * The end of the primary's log in a term, requested after {@code observedAt}.
     *
     * @param position end of the log; null until the primary answered
     */
    private record CatchUpTarget(long incarnation, long term, long observedAt, Position position) {}

    ReadmissionTracker(String group, ControlContext context, EndpointCalls calls) {
        this.group = group;
        this.context = context;
        this.calls = calls;
    }

    void step(GroupState state, long now) {
        for (Member member : state.endpoints().values()) {
            String name = member.info().endpoint();
            Option<ReceivedAnnouncement> announcement =
                    context.directory().alive(new EndpointKey(group, name), now);
            boolean otherIncarnation =
                    !state.primary().contains(name)
                            && announcement.exists(
                                    a -> a.info().incarnation() != member.info().incarnation());
            if (!otherIncarnation) {
                targets.remove(name);
                continue;
            }
            track(state, name, announcement.get(), now);
        }
    }

    private void track(GroupState state, String name, ReceivedAnnouncement announcement, long now) {
        CatchUpTarget target = targets.get(name);
        if (target == null
                || target.incarnation() != announcement.info().incarnation()
                || target.term() != state.term()) {
            targets.put(
                    name,
                    new CatchUpTarget(announcement.info().incarnation(), state.term(), now, null));
            queryPrimary(state, now);
            return;
        }
        if (target.position() == null) {
            queryPrimary(state, now);
            return;
        }
        if (now - announcement.since() >= STABLE_NANOS
                && announcement.status().holds(target.position(), state.term())) {
            context.out()
                    .propose(
                            new ControlCommand.ReadmitEndpoint(
                                    group, announcement.info(), state.term()),
                            now);
        }
    }

    private void queryPrimary(GroupState state, long now) {
        state.primary()
                .flatMap(p -> state.endpoints().get(p))
                .forEach(
                        p ->
                                calls.send(
                                        p.info().endpoint(),
                                        p.info().address(),
                                        new EndpointCall.Status(Position.ZERO, 0),
                                        now));
    }

    /** Handles the answer to a {@code Status} call that was sent at {@code sentAt}. */
    void answered(GroupState state, String endpoint, long sentAt, EndpointStatus status) {
        if (!state.primary().contains(endpoint)
                || !status.primary()
                || status.promisedTerm() != state.term()) {
            return;
        }
        targets.replaceAll(
                (name, target) ->
                        target.position() == null
                                        && target.term() == state.term()
                                        && sentAt >= target.observedAt()
                                ? new CatchUpTarget(
                                        target.incarnation(),
                                        target.term(),
                                        target.observedAt(),
                                        status.last())
                                : target);
    }
}
