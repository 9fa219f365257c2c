package org.ragwortmoor.coordination.engine;

/**
 * Token bucket that limits retries to a fraction of the requests.
 *
 * <p>Without it, retries would multiply the load of an overloaded or failing group and prolong the
 * overload.
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

    void recordRequest() {
        tokens = Math.min(capacity, tokens + ratio);
    }

    boolean tryConsume() {
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
