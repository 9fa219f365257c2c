package org.ragwortmoor.coordination.balancing;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Selects the server for a read by costs that are multiples of the measured answer time.
 *
 * <p>Load: many proxies that choose from figures of equal age. If all of them took the cheapest
 * server, they would move together, and the server would be overloaded before the figures show it.
 * Servers of the same distance are therefore drawn, two at a time, unless the figures are fresh.
 *
 * <p>Figures that are not refreshed lose their effect, so that a server is tried again; only one
 * read is sent for that purpose until it is answered or the figures are old again.
 */
public final class MeasuredCostChoice implements ReadServerChoice {
    /**
     * Additional cost of a server in another failure domain, in answer times. Bytes between domains
     * are priced: about 0.03 per read, of which one is worth 1 to 2 in the deployments in service.
     */
    private static final double REMOTE_DOMAIN_COST = 3;

    /** Additional cost of the primary, whose capacity is needed for writes. */
    private static final double PRIMARY_COST = 0.6;

    /** Additional cost of a server that fails every statement. */
    private static final double FAILURE_COST = 40;

    /** Additional cost of a connection that must be opened first. */
    private static final double OPENING_COST = 1.5;

    /** Lower limit of the answer time, and its assumed value without any answer. */
    private static final double MIN_ANSWER_MILLIS = 0.5;

    private static final double UNKNOWN_ANSWER_MILLIS = 10;

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Weight of own work in progress beyond the usual amount: a server that has become slow shows
     * it there before the first late answer.
     */
    private static final double SURPLUS_WEIGHT = 8;

    /**
     * Deviations, as multiples of the square root, up to which own work in progress is usual. With
     * fewer, reads that coincide were sent to other domains in calm.
     */
    private static final double USUAL_DEVIATIONS = 5;

    /** Limits of the time constant with which figures lose their effect. */
    private static final long MIN_DECAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long MAX_DECAY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * Time constant in own reads. A server that is avoided gets about one read in this number to
     * find out whether it has recovered.
     */
    private static final int DECAY_READS = 20;

    /** Weight of the newest interval in the average interval between own reads. */
    private static final double INTERVAL_WEIGHT = 0.05;

    private final RandomGenerator random;
    private double[] costs = new double[4];
    private double interval = TimeUnit.MILLISECONDS.toNanos(100);
    private long selectedAt;
    private boolean selectedBefore;
    private double answerMillis;
    private double groupExcess;
    private double distance;
    private double usualInUse;

    /**
     * Creates a choice.
     *
     * @param random generator for the draws, seeded by the caller
     */
    public MeasuredCostChoice(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public int select(Candidates<?> candidates, long now) {
        measureInterval(now);
        if (candidates.size() == 1) {
            return 0;
        }
        measureGroup(candidates);
        double decay = Math.max(MIN_DECAY_NANOS, Math.min(MAX_DECAY_NANOS, DECAY_READS * interval));
        if (costs.length < candidates.size()) {
            costs = new double[candidates.size()];
        }
        double meanInUse = answerMillis * NANOS_PER_MILLI / Math.max(1, interval);
        usualInUse = meanInUse + USUAL_DEVIATIONS * Math.sqrt(meanInUse);
        double bestReturn = 0;
        for (int i = 0; i < candidates.size(); i++) {
            bestReturn = Math.max(bestReturn, candidates.server(i).figures().returnShare(now));
        }
        for (int i = 0; i < candidates.size(); i++) {
            costs[i] = cost(candidates, i, now, decay);
            double share = candidates.server(i).figures().returnShare(now) / bestReturn;
            if (share < 1 && random.nextDouble() >= share) {
                // Not drawn; taken only if no other server can be.
                costs[i] += FAILURE_COST * answerMillis;
            }
        }
        int local = draw(candidates, true);
        int remote = draw(candidates, false);
        int selected = local < 0 || (remote >= 0 && costs[remote] < costs[local]) ? remote : local;
        AnswerFigures figures = candidates.server(selected).figures();
        if (candidates.idle(selected) && figures.age(now) > decay) {
            figures.markTried(now);
        }
        return selected;
    }

    private void measureInterval(long now) {
        if (selectedBefore) {
            interval += INTERVAL_WEIGHT * (now - selectedAt - interval);
        }
        selectedBefore = true;
        selectedAt = now;
    }

    /** Measures the best answer time of the servers and the mean excess of the better ones. */
    private void measureGroup(Candidates<?> candidates) {
        double bestLocal = Double.MAX_VALUE;
        double bestRemote = Double.MAX_VALUE;
        double sum = 0;
        int known = 0;
        for (int i = 0; i < candidates.size(); i++) {
            AnswerFigures figures = candidates.server(i).figures();
            if (figures.known()) {
                if (candidates.local(i)) {
                    bestLocal = Math.min(bestLocal, figures.best());
                } else {
                    bestRemote = Math.min(bestRemote, figures.best());
                }
                sum += figures.excess();
                known++;
            }
        }
        groupExcess = 0;
        distance = 0;
        if (known == 0) {
            answerMillis = UNKNOWN_ANSWER_MILLIS;
            return;
        }
        answerMillis = Math.max(MIN_ANSWER_MILLIS, Math.min(bestLocal, bestRemote));
        if (bestLocal < bestRemote && bestRemote < Double.MAX_VALUE) {
            distance = bestRemote - bestLocal;
        }
        // A server without answers is assumed to have no excess.
        double mean = sum / candidates.size();
        int better = candidates.size() - known;
        for (int i = 0; i < candidates.size(); i++) {
            AnswerFigures figures = candidates.server(i).figures();
            if (figures.known() && figures.excess() <= mean) {
                groupExcess += figures.excess();
                better++;
            }
        }
        groupExcess /= Math.max(1, better);
    }

    private double cost(Candidates<?> candidates, int index, long now, double decay) {
        ServerLoad server = candidates.server(index);
        AnswerFigures figures = server.figures();
        double expected = answerMillis + groupExcess + (candidates.local(index) ? 0 : distance);
        if (figures.known()) {
            double weight = Math.exp(-figures.age(now) / decay);
            expected += weight * (figures.latency() - expected);
        }
        double surplus = Math.max(0, server.inUse() - usualInUse);
        double load = (server.inUse() + SURPLUS_WEIGHT * surplus) / Math.max(1, server.slots());
        double cost = expected * (1 + load);
        double extra = figures.failureShare(now) * FAILURE_COST;
        extra += candidates.local(index) ? 0 : REMOTE_DOMAIN_COST;
        extra += candidates.primary(index) ? PRIMARY_COST : 0;
        extra += candidates.idle(index) ? 0 : OPENING_COST;
        return cost + extra * answerMillis;
    }

    /** Draws two candidates of the same distance and returns the cheaper one; -1 if none. */
    private int draw(Candidates<?> candidates, boolean local) {
        int first = -1;
        int second = -1;
        int seen = 0;
        for (int i = 0; i < candidates.size(); i++) {
            if (candidates.local(i) != local) {
                continue;
            }
            // Reservoir sampling: each pair is equally likely.
            seen++;
            if (first < 0) {
                first = i;
            } else if (second < 0) {
                second = i;
            } else {
                int slot = random.nextInt(seen);
                if (slot == 0) {
                    first = i;
                } else if (slot == 1) {
                    second = i;
                }
            }
        }
        return second >= 0 && costs[second] < costs[first] ? second : first;
    }
}
