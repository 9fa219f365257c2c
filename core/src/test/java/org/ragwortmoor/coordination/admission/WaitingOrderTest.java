package org.ragwortmoor.coordination.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the order of waiting statements, and plays a surge of short and long ones. */
class WaitingOrderTest {
    private static final int SHORT_WORK = 9;
    private static final int LONG_WORK = 47;

    private record Statement(int priority, long arrival, long deadline, int work) {}

    private final WaitingOrder<Statement> order =
            new WaitingOrder<>(Statement::priority, Statement::deadline);

    @Test
    void higherPriorityGoesFirstThenTheEarlierDeadline() {
        Statement late = new Statement(1, 0, 500, 1);
        Statement early = new Statement(1, 1, 300, 1);
        Statement urgent = new Statement(0, 2, 900, 1);
        Statement least = new Statement(2, 3, 100, 1);
        for (Statement statement : List.of(late, early, urgent, least)) {
            order.add(statement);
        }
        assertThat(order.inOrder()).containsExactly(urgent, early, late, least);
    }

    @Test
    void equalStatementsKeepTheOrderOfTheirArrival() {
        Statement first = new Statement(1, 0, 300, 1);
        Statement second = new Statement(1, 1, 300, 1);
        order.add(first);
        order.add(second);
        assertThat(order.inOrder()).containsExactly(first, second);
        assertThat(order.remove(first)).isTrue();
        assertThat(order.remove(first)).isFalse();
        assertThat(order.size()).isEqualTo(1);
    }

    /** Returns how many statements of a surge are served in time on one connection. */
    private static int servedInTime(List<Statement> surge, WaitingOrder<Statement> waiting) {
        List<Statement> arriving = new ArrayList<>(surge);
        arriving.sort(Comparator.comparingLong(Statement::arrival));
        long now = 0;
        int served = 0;
        while (!arriving.isEmpty() || waiting.size() > 0) {
            while (!arriving.isEmpty() && arriving.get(0).arrival() <= now) {
                waiting.add(arriving.remove(0));
            }
            if (waiting.size() == 0) {
                now = arriving.get(0).arrival();
                continue;
            }
            Statement next = waiting.inOrder().get(0);
            waiting.remove(next);
            if (next.deadline() >= now) {
                served++;
                now += next.work();
            }
        }
        return served;
    }

    /** Short writes with 1 s and long reads with 3 s of time, 1.7 times what is served. */
    private static List<Statement> surge(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Statement> surge = new ArrayList<>();
        for (long at = 0; at < 3_000; at += 12) {
            boolean isLong = random.nextInt(4) == 0;
            surge.add(
                    new Statement(
                            2, at, at + (isLong ? 3_000 : 1_000), isLong ? LONG_WORK : SHORT_WORK));
        }
        return surge;
    }

    @Test
    void moreOfASurgeIsServedInTimeThanInTheOrderOfArrival() {
        int byDeadline = 0;
        int byArrival = 0;
        for (long seed = 1; seed <= 20; seed++) {
            byDeadline +=
                    servedInTime(
                            surge(seed),
                            new WaitingOrder<>(Statement::priority, Statement::deadline));
            byArrival +=
                    servedInTime(
                            surge(seed),
                            new WaitingOrder<>(Statement::priority, Statement::arrival));
        }
        assertThat(byDeadline).isGreaterThan(byArrival * 11 / 10);
    }
}
