package org.ragwortmoor.coordination.engine;

/**
 * Thresholds of a {@link GroupEngine}. Durations are in nanoseconds.
 *
 * <p>The state dump contains the text of this record, so the names of its components must not
 * change.
 *
 * @param replicaReads whether replicas serve reads; false is the primary-only baseline
 * @param classes whether work classes, fair queueing and adaptive limits are used; false is the
 *     baseline of one FIFO queue with a fixed limit
 * @param fixedLimit initial in-flight limit per endpoint, constant in the baseline
 * @param statusIntervalNanos time between status rounds
 * @param pingIntervalNanos time between pings on one connection
 * @param silentAfterNanos time without a ping answer after which a connection is unresponsive
 * @param connectTimeoutNanos timeout for opening a connection
 * @param backoffMinNanos initial upper bound of the reconnect delay
 * @param backoffMaxNanos largest upper bound of the reconnect delay
 * @param awaitNanos longest time that an endpoint delays a status answer until it has an awaited
 *     position
 * @param retryDelayNanos delay before a refused request is retried
 * @param graceNanos time before its deadline by which a request is answered at the latest
 * @param longAfterNanos service time above which a statement is long
 * @param queueTargetNanos queueing time in the endpoint that the adaptive limit tolerates in
 *     addition to half the service time
 * @param waitFactor a read waits for replication while the expected catch-up time is below this
 *     multiple of the primary's round trip
 * @param retryRatio retry tokens that each request adds
 * @param retryBurst largest number of retry tokens
 * @param maxQueued maximum number of queued requests
 * @param maxLabels maximum number of work labels with an estimate
 * @param maxSamples maximum number of staleness samples, at most one per status round
 */
public record EngineSettings(
        boolean replicaReads,
        boolean classes,
        int fixedLimit,
        long statusIntervalNanos,
        long pingIntervalNanos,
        long silentAfterNanos,
        long connectTimeoutNanos,
        long backoffMinNanos,
        long backoffMaxNanos,
        long awaitNanos,
        long retryDelayNanos,
        long graceNanos,
        long longAfterNanos,
        long queueTargetNanos,
        double waitFactor,
        double retryRatio,
        int retryBurst,
        int maxQueued,
        int maxLabels,
        int maxSamples) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Returns the default settings, documented in docs/design.md. */
    public static EngineSettings defaults() {
        return new EngineSettings(
                true,
                true,
                4,
                100 * NANOS_PER_MILLI,
                250 * NANOS_PER_MILLI,
                1000 * NANOS_PER_MILLI,
                1000 * NANOS_PER_MILLI,
                50 * NANOS_PER_MILLI,
                1000 * NANOS_PER_MILLI,
                100 * NANOS_PER_MILLI,
                10 * NANOS_PER_MILLI,
                0,
                50 * NANOS_PER_MILLI,
                NANOS_PER_MILLI,
                3.0,
                0.1,
                50,
                20_000,
                1_000,
                1_024);
    }

    /** Returns a copy with replica reads enabled or disabled. */
    public EngineSettings withReplicaReads(boolean enabled) {
        return new EngineSettings(
                enabled,
                classes,
                fixedLimit,
                statusIntervalNanos,
                pingIntervalNanos,
                silentAfterNanos,
                connectTimeoutNanos,
                backoffMinNanos,
                backoffMaxNanos,
                awaitNanos,
                retryDelayNanos,
                graceNanos,
                longAfterNanos,
                queueTargetNanos,
                waitFactor,
                retryRatio,
                retryBurst,
                maxQueued,
                maxLabels,
                maxSamples);
    }

    /** Returns a copy with work classes, fair queueing and adaptive limits enabled or disabled. */
    public EngineSettings withWorkClasses(boolean enabled) {
        return new EngineSettings(
                replicaReads,
                enabled,
                fixedLimit,
                statusIntervalNanos,
                pingIntervalNanos,
                silentAfterNanos,
                connectTimeoutNanos,
                backoffMinNanos,
                backoffMaxNanos,
                awaitNanos,
                retryDelayNanos,
                graceNanos,
                longAfterNanos,
                queueTargetNanos,
                waitFactor,
                retryRatio,
                retryBurst,
                maxQueued,
                maxLabels,
                maxSamples);
    }
}
