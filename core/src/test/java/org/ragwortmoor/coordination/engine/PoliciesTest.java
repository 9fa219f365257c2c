package org.ragwortmoor.coordination.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of fair queueing, service time estimates, limits, the retry budget and shares. */
class PoliciesTest {
    private static final long MILLI = VirtualTime.MILLI;

    private static Task task(EngineContext ctx, long id, int session) {
        return new RollbackTask(
                ctx, new CallerRequest.Rollback(id, "s" + session, "t", Long.MAX_VALUE));
    }

    /** A session with many requests must not starve others. */
    @Property(tries = 200, seed = "1")
    void queueIsFairBetweenSessions(
            @ForAll @Size(max = 40) List<@IntRange(max = 4) Integer> sessions) {
        EngineContext ctx = new EngineContext(EngineSettings.defaults(), "p", "g", new Random(1));
        FairQueue queue = new FairQueue();
        Map<String, Integer> waiting = new HashMap<>();
        long id = 0;
        for (int session : sessions) {
            queue.add(task(ctx, ++id, session));
            waiting.merge("s" + session, 1, Integer::sum);
        }
        List<Task> served = new ArrayList<>();
        queue.dispatch(
                task -> {
                    served.add(task);
                    return WorkQueue.Outcome.TAKEN;
                });
        assertThat(served).hasSize(sessions.size());
        assertThat(queue.size()).isZero();
        Map<String, Integer> count = new HashMap<>();
        Map<String, Long> last = new HashMap<>();
        for (Task task : served) {
            String session = task.request().session();
            int turn = count.merge(session, 1, Integer::sum);
            // No session gets another turn while a session with queued requests had fewer.
            waiting.forEach(
                    (other, n) ->
                            assertThat(count.getOrDefault(other, 0))
                                    .isGreaterThanOrEqualTo(Math.min(n, turn - 1)));
            assertThat(task.id()).isGreaterThan(last.getOrDefault(session, 0L));
            last.put(session, task.id());
        }
    }

    @ParameterizedTest
    @CsvSource({"10, 1, SHORT", "60, 1, LONG", "10, 200, SHORT", "200, 10, LONG"})
    void labelsAreClassifiedByTheirServiceTime(long firstMillis, long laterMillis, String now) {
        LabelClassifier classifier = new LabelClassifier(50 * MILLI, 2);
        assertThat(classifier.classify("x")).isEqualTo(WorkClass.SHORT);
        classifier.recordServiceTime("x", firstMillis * MILLI);
        assertThat(classifier.classify("x")).isEqualTo(WorkClass.valueOf(now));
        for (int i = 0; i < 200; i++) {
            classifier.recordServiceTime("x", laterMillis * MILLI);
        }
        WorkClass later = laterMillis > 50 ? WorkClass.LONG : WorkClass.SHORT;
        assertThat(classifier.classify("x")).isEqualTo(later);
    }

    @Test
    void estimatesAreBounded() {
        LabelClassifier classifier = new LabelClassifier(50 * MILLI, 2);
        for (int i = 0; i < 100; i++) {
            classifier.recordServiceTime("label" + i, MILLI);
        }
        assertThat(classifier.size()).isEqualTo(2);
    }

    @Test
    void limitFollowsTheEndpointsQueueing() {
        AimdLimiter limiter = new AimdLimiter(4, MILLI);
        for (int i = 1; i <= 100; i++) {
            limiter.recordAnswer(3, 20 * MILLI, 24 * MILLI, i * 30L * MILLI);
        }
        assertThat(limiter.limit()).isLessThan(1);
        assertThat(limiter.admits(0, 100 * 30L * MILLI)).isFalse();
        assertThat(limiter.admits(0, limiter.pausedUntil())).isTrue();
        for (int i = 0; i < 400; i++) {
            limiter.recordAnswer(30, 0, 4 * MILLI, 4000 * MILLI + i * MILLI);
        }
        assertThat(limiter.limit()).isGreaterThan(4);
    }

    @Test
    void retriesAreAFractionOfTheRequests() {
        RetryBudget budget = new RetryBudget(0.1, 5);
        int taken = 0;
        for (int i = 0; i < 1000; i++) {
            budget.recordRequest();
            taken += budget.tryConsume() ? 1 : 0;
        }
        assertThat(taken).isBetween(100, 105);
    }

    @Test
    void shareShrinksToTheFloorWhenTheLeaseEnds() {
        Share share = new Share();
        assertThat(share.connections(0)).isZero();
        share.applyLease(new EngineEvent.ShareLeased("e", 2, 7, 1, 100));
        assertThat(share.connections(99)).isEqualTo(7);
        assertThat(share.longPermits(99)).isEqualTo(1);
        assertThat(share.connections(100)).isEqualTo(2);
        assertThat(share.longPermits(100)).isZero();
    }
}
