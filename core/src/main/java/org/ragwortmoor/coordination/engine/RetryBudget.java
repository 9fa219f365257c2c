package org.ragwortmoor.coordination.engine;

/**
 * Token bucket that bounds retries to a fraction of the requests.
 *
 * <p>Without a bound, every request of an overloaded or failing group would be sent several times
 * and prolong the overload.
 */
final class RetryBudget {
    private final double ratio;
    private final double capacity;
    private double tokens;

    RetryBudget(double ratio, int capacity) {
        this.ratio = ratio;
        this.capacity = capacity;
        this.tokens = capacity;
    }

    void requestArrived() {
        tokens = Math.min(capacity, tokens + ratio);
    }

    boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    double tokens() {
        return tokens;
    }
}
