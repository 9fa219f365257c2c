package org.ragwortmoor.state.directory;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;

/**
 * Rejects a server that says that it has started long after the present time.
 *
 * <p>A later start takes precedence: over earlier incarnations of the same server, and over other
 * servers at its address. A start time that no clock shows would keep the real server out for good.
 * Clocks that differ by hours are accepted.
 */
final class PlausibleStart implements ServerRecordCheck {
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = TimeUnit.DAYS.toMillis(1);

    /**
     * Start of the year 2100, in milliseconds since the epoch: a bound that does not depend on a
     * clock, for what was stored before start times were checked.
     */
    private static final long LATEST_START_MILLIS = 4_102_444_800_000L;

    @Override
    public Option<String> problem(ServerRecord server, long nowMillis) {
        boolean future =
                server.startedAtMillis() - nowMillis > MAX_CLOCK_DIFFERENCE_MILLIS
                        || isImpossible(server);
        return Option.when(
                future,
                () ->
                        "born is "
                                + server.startedAtMillis()
                                + ", which is in the future; give the millisecond of the start");
    }

    /** Returns whether no server can have started then, whatever the time is. */
    static boolean isImpossible(ServerRecord server) {
        return server.startedAtMillis() > LATEST_START_MILLIS;
    }
}
