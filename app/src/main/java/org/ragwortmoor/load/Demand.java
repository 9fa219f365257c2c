package org.ragwortmoor.load;

/**
 * The rate of requests over time: a base rate, and a crest with linear flanks.
 *
 * @param baseRate requests per second outside the crest
 * @param crestRate requests per second at the crest
 * @param crestStartMillis start of the rising flank
 * @param crestMillis length of the crest between its flanks; 0 for no crest
 * @param flankMillis length of each flank
 */
public record Demand(
        double baseRate,
        double crestRate,
        long crestStartMillis,
        long crestMillis,
        long flankMillis) {
    /** Returns a demand without a crest. */
    public static Demand steady(double rate) {
        return new Demand(rate, rate, 0, 0, 0);
    }

    /** Returns the rate at a time after the start, in requests per second. */
    public double rate(long atNanos) {
        if (crestMillis == 0) {
            return baseRate;
        }
        double at = atNanos / 1e6 - crestStartMillis;
        double fall = flankMillis + crestMillis;
        double share;
        if (at < 0 || at >= fall + flankMillis) {
            share = 0;
        } else if (at < flankMillis) {
            share = at / flankMillis;
        } else if (at < fall) {
            share = 1;
        } else {
            share = 1 - (at - fall) / flankMillis;
        }
        return baseRate + share * (crestRate - baseRate);
    }

    /** Returns the greatest rate. */
    public double greatestRate() {
        return crestMillis == 0 ? baseRate : Math.max(baseRate, crestRate);
    }

    /** Returns the end of the falling flank, in milliseconds. */
    public long endMillis() {
        return crestMillis == 0 ? 0 : crestStartMillis + crestMillis + 2 * flankMillis;
    }
}
