package org.ragwortmoor.state.directory;

import io.vavr.control.Option;

/** Rejects a server that executes no statements, or more at a time than any server does. */
final class BoundedSlots implements ServerRecordCheck {
    private static final int MAX_SLOTS = 100_000;

    @Override
    public Option<String> problem(ServerRecord server, long nowMillis) {
        return Option.when(
                server.slots() < 1 || server.slots() > MAX_SLOTS,
                () -> "capacity is " + server.slots() + "; give 1 to " + MAX_SLOTS);
    }
}
