package org.ragwortmoor.load;

/**
 * What a load consists of.
 *
 * @param seed seed of the generator
 * @param prefix prefix of all keys, so that loads on one deployment do not share records
 * @param durationMillis length of the load, in milliseconds
 * @param demand rate over time
 * @param sessions sessions opened before the load
 * @param keys number of keys of each sort
 * @param mix shares of kinds of requests
 * @param maxAgeMillis accepted age of reads with an age, in milliseconds
 * @param shortMicros length of a short statement, in microseconds
 * @param longMicros length of a long statement, in microseconds
 * @param deadlineMillis time within which callers need an answer, in milliseconds
 */
public record Workload(
        long seed,
        String prefix,
        long durationMillis,
        Demand demand,
        int sessions,
        int keys,
        Mix mix,
        long maxAgeMillis,
        long shortMicros,
        long longMicros,
        long deadlineMillis) {
    /**
     * Shares in percent.
     *
     * @param reads of requests
     * @param transactions of requests; the rest are writes
     * @param increments of writes
     * @param strong of reads
     * @param aged of reads, with an accepted age; the rest are at level session
     * @param longs of reads, with long statements
     */
    public record Mix(
            int reads, int transactions, int increments, int strong, int aged, int longs) {}

    /** Returns this workload with another seed and with keys of its own. */
    public Workload withSeed(long other) {
        return new Workload(
                other,
                "k" + other,
                durationMillis,
                demand,
                sessions,
                keys,
                mix,
                maxAgeMillis,
                shortMicros,
                longMicros,
                deadlineMillis);
    }
}
