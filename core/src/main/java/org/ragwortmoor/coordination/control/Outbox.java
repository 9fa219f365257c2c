package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.endpoint.EndpointCall;

/** Collects the actions of one event and keeps decisions from being proposed twice. */
final class Outbox {
    /**
     * A proposal that is not committed by then is proposed again. Commits take a few milliseconds,
     * and a repeated one is refused by the state machine.
     */
    static final long REPROPOSE_NANOS = 1_000_000_000L;

    /** Calls that never get an answer or failure are forgotten beyond this number. */
    private static final int REMEMBERED_CALLS = 100_000;

    private final Map<ControlCommand, Long> outstanding = new HashMap<>();
    private List<ControlAction> actions = new ArrayList<>();
    private final Map<Long, EndpointKey> calls = new LinkedHashMap<>();
    private long lastCall;

    /** Proposes a decision of the leader unless the same one is under way. */
    void propose(ControlCommand command, long now) {
        Long proposedAt = outstanding.get(command);
        if (proposedAt != null && now - proposedAt < REPROPOSE_NANOS) {
            return;
        }
        outstanding.put(command, now);
        actions.add(new ControlAction.Propose(command));
    }

    long call(EndpointKey key, String address, EndpointCall request) {
        lastCall++;
        calls.put(lastCall, key);
        if (calls.size() > REMEMBERED_CALLS) {
            calls.remove(calls.keySet().iterator().next());
        }
        actions.add(
                new ControlAction.CallEndpoint(
                        lastCall, key.group(), key.endpoint(), address, request));
        return lastCall;
    }

    /** Returns the endpoint of a call once; a repeated answer finds nothing. */
    Option<EndpointKey> takeCall(long call) {
        return Option.of(calls.remove(call));
    }

    void add(ControlAction action) {
        actions.add(action);
    }

    void committed(ControlCommand command) {
        outstanding.remove(command);
    }

    /** Drops proposals that a lost leadership may have discarded. */
    void reset() {
        outstanding.clear();
    }

    /** Forgets proposals that were never committed, for example refused by the consensus layer. */
    void prune(long now) {
        outstanding.values().removeIf(at -> now - at >= REPROPOSE_NANOS);
    }

    List<ControlAction> drain() {
        List<ControlAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }
}
