package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;

/**
 * Suspects an endpoint as soon as its announcements stay away; the baseline for comparison.
 *
 * <p>It takes a cut between the leader and the endpoint for a failure of the endpoint, which is why
 * {@link FailureDetector} is used instead.
 */
final class TimeoutDetector implements SuspicionRule {
    private final long timeoutNanos;
    private final EndpointDirectory directory;

    TimeoutDetector(long timeoutNanos, EndpointDirectory directory) {
        this.timeoutNanos = timeoutNanos;
        this.directory = directory;
    }

    @Override
    public Option<String> suspicion(EndpointKey key, long now) {
        if (directory.silentFor(key, now) < timeoutNanos) {
            return Option.none();
        }
        return Option.of(
                "no announcement of %s for %d ms"
                        .formatted(key.endpoint(), timeoutNanos / 1_000_000));
    }
}
