package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.endpoint.EndpointCall;

/** Collects the actions of one event and suppresses duplicate proposals. */
final class Outbox {
    /**
     * Time after which an uncommitted proposal may be repeated. Commits normally take a few
     * milliseconds, and the state machine refuses a duplicate.
     */
    static final long REPROPOSE_NANOS = 1_000_000_000L;

    /**
     * Maximum number of calls that await an answer or failure; the oldest are dropped beyond it.
     */
    private static final int MAX_PENDING_CALLS = 100_000;

    private final Map<ControlCommand, Long> outstanding = new HashMap<>();
    private List<ControlAction> actions = new ArrayList<>();
    private final Map<Long, EndpointKey> calls = new LinkedHashMap<>();
    private long lastCall;

    /** Proposes a command unless the same command is already outstanding. */
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
        if (calls.size() > MAX_PENDING_CALLS) {
            calls.remove(calls.keySet().iterator().next());
        }
        actions.add(
                new ControlAction.CallEndpoint(
                        lastCall, key.group(), key.endpoint(), address, request));
        return lastCall;
    }

    /** Removes a call and returns its endpoint, or none if the call was already answered. */
    Option<EndpointKey> removeCall(long call) {
        return Option.of(calls.remove(call));
    }

    void add(ControlAction action) {
        actions.add(action);
    }

    void committed(ControlCommand command) {
        outstanding.remove(command);
    }

    /** Clears the outstanding proposals, which may have been lost with the leadership. */
    void reset() {
        outstanding.clear();
    }

    /**
     * Removes proposals that were not committed in time, for example because the consensus layer
     * refused them.
     */
    void prune(long now) {
        outstanding.values().removeIf(at -> now - at >= REPROPOSE_NANOS);
    }

    List<ControlAction> drain() {
        List<ControlAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }
}
