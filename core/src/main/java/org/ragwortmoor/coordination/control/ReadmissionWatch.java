package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.coordination.control.EndpointDirectory.Seen;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Counts a new incarnation of an endpoint once it holds all that the lost one can have held.
 *
 * <p>Writes that were acknowledged with the lost data are in the primary's log. The primary is
 * asked for the end of its log after the new incarnation was seen; when the new incarnation
 * contains that position under the same term, it stands for the lost one. Until then its promises
 * do not count, since a majority with an empty log could miss acknowledged writes.
 */
final class ReadmissionWatch {
    /** The lost incarnation must have been silent; both announcing means a wrong setting. */
    private static final long SETTLED_NANOS = 2_000_000_000L;

    private final String group;
    private final ControlContext context;
    private final EndpointCalls calls;
    private final Map<String, Barrier> barriers = new HashMap<>();

    /** The primary's log end in a term, asked for after {@code seenAt}; null until answered. */
    private record Barrier(long incarnation, long term, long seenAt, Position position) {}

    ReadmissionWatch(String group, ControlContext context, EndpointCalls calls) {
        this.group = group;
        this.context = context;
        this.calls = calls;
    }

    void step(GroupState state, long now) {
        for (Member member : state.endpoints().values()) {
            String name = member.info().endpoint();
            Option<Seen> seen = context.directory().alive(new EndpointKey(group, name), now);
            boolean replaced =
                    !state.primary().contains(name)
                            && seen.exists(
                                    s -> s.info().incarnation() != member.info().incarnation());
            if (!replaced) {
                barriers.remove(name);
                continue;
            }
            watch(state, name, seen.get(), now);
        }
    }

    private void watch(GroupState state, String name, Seen seen, long now) {
        Barrier barrier = barriers.get(name);
        if (barrier == null
                || barrier.incarnation() != seen.info().incarnation()
                || barrier.term() != state.term()) {
            barriers.put(name, new Barrier(seen.info().incarnation(), state.term(), now, null));
            askPrimary(state, now);
            return;
        }
        if (barrier.position() == null) {
            askPrimary(state, now);
            return;
        }
        if (now - seen.since() >= SETTLED_NANOS
                && seen.status().holds(barrier.position(), state.term())) {
            context.out()
                    .propose(
                            new ControlCommand.ReadmitEndpoint(group, seen.info(), state.term()),
                            now);
        }
    }

    private void askPrimary(GroupState state, long now) {
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

    /** Takes the answer to a {@code Status} call that was sent at {@code sentAt}. */
    void answered(GroupState state, String endpoint, long sentAt, EndpointStatus status) {
        if (!state.primary().contains(endpoint)
                || !status.primary()
                || status.promisedTerm() != state.term()) {
            return;
        }
        barriers.replaceAll(
                (name, b) ->
                        b.position() == null && b.term() == state.term() && sentAt >= b.seenAt()
                                ? new Barrier(b.incarnation(), b.term(), b.seenAt(), status.last())
                                : b);
    }
}
