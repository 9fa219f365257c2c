package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;

/**
 * Suspects an endpoint when its announcements time out; the baseline for comparison.
 *
 * <p>It cannot distinguish a partition between the leader and the endpoint from a failure of the
 * endpoint. {@link QuorumFailureDetector} is therefore used instead.
 */
final class TimeoutFailureDetector implements FailureDetector {
    private final long timeoutNanos;
    private final EndpointDirectory directory;

    TimeoutFailureDetector(long timeoutNanos, EndpointDirectory directory) {
        this.timeoutNanos = timeoutNanos;
        this.directory = directory;
    }

    @Override
    public Option<String> suspicion(EndpointKey key, long now) {
        if (directory.silentNanos(key, now) < timeoutNanos) {
            return Option.none();
        }
        return Option.of(
                "no announcement of %s for %d ms"
                        .formatted(key.endpoint(), timeoutNanos / 1_000_000));
    }
}
