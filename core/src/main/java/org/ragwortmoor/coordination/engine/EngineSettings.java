package org.ragwortmoor.coordination.engine;

/**
 * Thresholds of a {@link GroupEngine}. Durations are in nanoseconds.
 *
 * @param replicaReads whether replicas serve reads; false is the baseline "primary only"
 * @param classes whether work is ordered by class, session and adaptive limit; false is the
 *     baseline of one first-in-first-out queue with a fixed limit
 * @param fixedLimit statements in flight per endpoint in the baseline, and the adaptive limit's
 *     first value
 * @param statusIntervalNanos time between status rounds
 * @param pingIntervalNanos time between pings on one connection
 * @param silentAfterNanos time without a ping answer after which a connection counts as silent
 * @param connectTimeoutNanos time after which an opening connection is given up
 * @param backoffMinNanos shortest wait before a failed connection is opened again
 * @param backoffMaxNanos longest wait before a failed connection is opened again
 * @param awaitNanos longest time that an endpoint holds back a status answer for replication
 * @param retryDelayNanos wait before a refused request is sent again
 * @param graceNanos how long before its deadline a request is answered at the latest
 * @param longAfterNanos service time from which a statement counts as long
 * @param queueTargetNanos endpoint queueing below which the in-flight limit grows
 * @param waitFactor a read waits for replication while the expected catch-up time is below this
 *     multiple of the primary's round trip
 * @param retryRatio retry tokens that each request adds
 * @param retryBurst largest number of retry tokens
 * @param maxQueued largest number of waiting requests
 * @param maxLabels largest number of work labels with an estimate
 * @param maxSamples largest number of age samples, one per status round
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
    private static final long MILLI = 1_000_000L;

    /** Returns the settings that the design page names. */
    public static EngineSettings defaults() {
        return new EngineSettings(
                true,
                true,
                4,
                100 * MILLI,
                250 * MILLI,
                1000 * MILLI,
                1000 * MILLI,
                50 * MILLI,
                1000 * MILLI,
                100 * MILLI,
                10 * MILLI,
                0,
                50 * MILLI,
                MILLI,
                3.0,
                0.1,
                50,
                20_000,
                1_000,
                1_024);
    }

    /** Returns these settings with replica reads switched on or off. */
    public EngineSettings withReplicaReads(boolean on) {
        return new EngineSettings(
                on,
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

    /** Returns these settings with classes, fair queues and adaptive limits on or off. */
    public EngineSettings withClasses(boolean on) {
        return new EngineSettings(
                replicaReads,
                on,
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
