package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.EndpointStatus;

/**
 * Stores the latest announcement of each endpoint and proposes the resulting changes to the
 * replicated directory.
 *
 * <p>An endpoint whose incarnation differs from the registered one has lost its data. It is never
 * registered from its announcement; {@link ReadmissionTracker} decides when it counts as a member
 * again.
 */
final class EndpointDirectory {
    /** An endpoint is alive until two consecutive announcements, sent every 500 ms, were missed. */
    static final long ALIVE_NANOS = 1_250_000_000L;

    private final Map<EndpointKey, ReceivedAnnouncement> announcements = new HashMap<>();
    private final Map<String, Long> groupReceivedAt = new HashMap<>();
    private long startedAt;

    /**
     * The latest announcement of an endpoint.
     *
     * @param receivedAt time at which it was received
     * @param since time at which the first announcement in the current uninterrupted series of this
     *     incarnation was received
     */
    record ReceivedAnnouncement(Announcement announcement, long receivedAt, long since) {
        EndpointInfo info() {
            return announcement.info();
        }

        EndpointStatus status() {
            return announcement.status();
        }
    }

    EndpointDirectory(long now) {
        startedAt = now;
    }

    /**
     * Resets the start of the silence of all endpoints, so that time before {@code now} does not
     * count.
     */
    void restart(long now) {
        startedAt = now;
    }

    EndpointKey accept(Announcement announcement, long now) {
        EndpointKey key = new EndpointKey(announcement.group(), announcement.info().endpoint());
        ReceivedAnnouncement previous = announcements.get(key);
        boolean continues =
                previous != null
                        && previous.info().incarnation() == announcement.info().incarnation()
                        && now - previous.receivedAt() < ALIVE_NANOS;
        groupReceivedAt.put(announcement.group(), now);
        announcements.put(
                key,
                new ReceivedAnnouncement(announcement, now, continues ? previous.since() : now));
        return key;
    }

    Option<ReceivedAnnouncement> latest(EndpointKey key) {
        return Option.of(announcements.get(key));
    }

    /** Returns the latest announcement of an endpoint if it is recent enough. */
    Option<ReceivedAnnouncement> alive(EndpointKey key, long now) {
        return latest(key).filter(s -> now - s.receivedAt() < ALIVE_NANOS);
    }

    /** Returns the latest announcement of the registered incarnation if it is recent enough. */
    Option<ReceivedAnnouncement> alive(String group, Member member, long now) {
        return alive(new EndpointKey(group, member.info().endpoint()), now)
                .filter(s -> s.info().incarnation() == member.info().incarnation());
    }

    /** Returns the time since the last announcement in nanoseconds. */
    long silentNanos(EndpointKey key, long now) {
        ReceivedAnnouncement last = announcements.get(key);
        return now - (last == null ? startedAt : Math.max(last.receivedAt(), startedAt));
    }

    /** Returns whether a recent announcement of any endpoint of the group was received. */
    boolean groupAlive(String group, long now) {
        Long receivedAt = groupReceivedAt.get(group);
        return receivedAt != null && now - receivedAt < ALIVE_NANOS;
    }

    /**
     * Proposes the changes of the replicated directory that follow from the latest announcement.
     */
    void reconcile(EndpointKey key, ControlState state, Outbox out, long now) {
        ReceivedAnnouncement last = announcements.get(key);
        Option<GroupState> group = state.groups().get(key.group());
        if (group.isEmpty()) {
            out.propose(
                    new ControlCommand.RegisterGroup(key.group(), last.announcement().size()), now);
            out.propose(new ControlCommand.RegisterEndpoint(key.group(), last.info()), now);
            return;
        }
        if (group.get().size() != last.announcement().size()) {
            return;
        }
        Option<Member> member = group.get().endpoints().get(key.endpoint());
        if (member.isEmpty()) {
            if (group.get().endpoints().size() < group.get().size()) {
                out.propose(new ControlCommand.RegisterEndpoint(key.group(), last.info()), now);
            }
            return;
        }
        EndpointInfo known = member.get().info();
        if (known.incarnation() != last.info().incarnation()) {
            return;
        }
        if (known.leaving() != last.info().leaving()) {
            out.propose(
                    new ControlCommand.EndpointLeaving(
                            key.group(), key.endpoint(), last.info().leaving()),
                    now);
        }
        if (!GroupState.withLeaving(last.info(), known.leaving()).equals(known)) {
            out.propose(new ControlCommand.EndpointAddressChanged(key.group(), last.info()), now);
        }
    }

    void reconcileAll(ControlState state, Outbox out, long now) {
        new TreeMap<>(announcements)
                .forEach(
                        (key, last) -> {
                            if (now - last.receivedAt() < ALIVE_NANOS) {
                                reconcile(key, state, out, now);
                            }
                        });
    }

    /**
     * Returns the reasons why announced endpoints are not counted as group members, for the dump.
     */
    Map<EndpointKey, String> uncounted(ControlState state, long now) {
        Map<EndpointKey, String> reasons = new TreeMap<>();
        announcements.forEach(
                (key, last) -> {
                    if (now - last.receivedAt() >= ALIVE_NANOS) {
                        return;
                    }
                    uncounted(state, key, last).forEach(reason -> reasons.put(key, reason));
                });
        return reasons;
    }

    private static Option<String> uncounted(
            ControlState state, EndpointKey key, ReceivedAnnouncement last) {
        Option<GroupState> group = state.groups().get(key.group());
        if (group.isEmpty()) {
            return Option.of("the group is being registered");
        }
        if (group.get().size() != last.announcement().size()) {
            return Option.of(
                    "states group size %d, the group has %d"
                            .formatted(last.announcement().size(), group.get().size()));
        }
        Option<Member> member = group.get().endpoints().get(key.endpoint());
        if (member.isEmpty()) {
            return Option.of("the group is complete; replace an endpoint to admit it");
        }
        return member.get().info().incarnation() == last.info().incarnation()
                ? Option.none()
                : Option.of("lost its data and does not hold the log of the primary yet");
    }

    /** Removes the announcements that are older than {@code age}. */
    void prune(long now, long age) {
        announcements.values().removeIf(s -> now - s.receivedAt() >= age);
        groupReceivedAt.values().removeIf(receivedAt -> now - receivedAt >= age);
    }
}
