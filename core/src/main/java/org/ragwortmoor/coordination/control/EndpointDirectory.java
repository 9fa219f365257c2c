package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.EndpointStatus;

/**
 * Keeps the announcements of endpoints and brings the replicated directory up to date with them.
 *
 * <p>An endpoint whose incarnation differs from the registered one has lost its data. It is never
 * registered from its announcement: {@link ReadmissionWatch} decides when it counts again.
 */
final class EndpointDirectory {
    /** Announcements come every 500 ms; two may be missed. */
    static final long ALIVE_NANOS = 1_250_000_000L;

    private final Map<EndpointKey, Seen> seen = new HashMap<>();
    private final Map<String, Long> groupHeardAt = new HashMap<>();
    private long startedAt;

    /**
     * The newest announcement of an endpoint.
     *
     * @param receivedAt when it arrived
     * @param since when the first one of an uninterrupted series of this incarnation arrived
     */
    record Seen(Announcement announcement, long receivedAt, long since) {
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

    /** Starts counting silence anew for endpoints that never announced themselves here. */
    void restart(long now) {
        startedAt = now;
    }

    EndpointKey accept(Announcement announcement, long now) {
        EndpointKey key = new EndpointKey(announcement.group(), announcement.info().endpoint());
        Seen before = seen.get(key);
        boolean continues =
                before != null
                        && before.info().incarnation() == announcement.info().incarnation()
                        && now - before.receivedAt() < ALIVE_NANOS;
        groupHeardAt.put(announcement.group(), now);
        seen.put(key, new Seen(announcement, now, continues ? before.since() : now));
        return key;
    }

    Option<Seen> seen(EndpointKey key) {
        return Option.of(seen.get(key));
    }

    /** Returns the newest announcement if it is young enough to act on. */
    Option<Seen> alive(EndpointKey key, long now) {
        return seen(key).filter(s -> now - s.receivedAt() < ALIVE_NANOS);
    }

    /** Returns the newest announcement of the registered incarnation, if young enough. */
    Option<Seen> alive(String group, Member member, long now) {
        return alive(new EndpointKey(group, member.info().endpoint()), now)
                .filter(s -> s.info().incarnation() == member.info().incarnation());
    }

    /** Returns the nanoseconds since the last announcement. */
    long silentFor(EndpointKey key, long now) {
        Seen last = seen.get(key);
        return now - (last == null ? startedAt : Math.max(last.receivedAt(), startedAt));
    }

    /** Returns whether any endpoint of the group announced itself lately. */
    boolean hearsGroup(String group, long now) {
        Long heardAt = groupHeardAt.get(group);
        return heardAt != null && now - heardAt < ALIVE_NANOS;
    }

    /** Proposes what the newest announcement changes in the replicated directory. */
    void reconcile(EndpointKey key, ControlState state, Outbox out, long now) {
        Seen last = seen.get(key);
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
        new TreeMap<>(seen)
                .forEach(
                        (key, last) -> {
                            if (now - last.receivedAt() < ALIVE_NANOS) {
                                reconcile(key, state, out, now);
                            }
                        });
    }

    /** Returns why an announced endpoint is not counted, for the dump. */
    Map<EndpointKey, String> uncounted(ControlState state, long now) {
        Map<EndpointKey, String> reasons = new TreeMap<>();
        seen.forEach(
                (key, last) -> {
                    if (now - last.receivedAt() >= ALIVE_NANOS) {
                        return;
                    }
                    uncounted(state, key, last).forEach(reason -> reasons.put(key, reason));
                });
        return reasons;
    }

    private static Option<String> uncounted(ControlState state, EndpointKey key, Seen last) {
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

    /** Forgets endpoints that were silent for {@code age}. */
    void prune(long now, long age) {
        seen.values().removeIf(s -> now - s.receivedAt() >= age);
        groupHeardAt.values().removeIf(heardAt -> now - heardAt >= age);
    }
}
