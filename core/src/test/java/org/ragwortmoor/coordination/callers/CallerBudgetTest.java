package org.ragwortmoor.coordination.callers;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against callers that hold memory or sessions, and against closing those that wait. */
class CallerBudgetTest {
    private static final int MIB = 1 << 20;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long PROGRESS = 20 * SECOND;
    private static final int MAX_SESSIONS = 5;

    private final CallerBudget budget =
            new CallerBudget(
                    new CallerLimits(256 << 10, 10 * MIB, MAX_SESSIONS, 2, 10 * SECOND, PROGRESS));
    private final List<Caller> closed = new ArrayList<>();

    private final class Caller implements CallerAccount.Owner {
        private CallerAccount account;
        private CloseReason reason;
        private int resumed;

        @Override
        public void close(CloseReason newReason) {
            reason = newReason;
            closed.add(this);
        }

        @Override
        public void resume() {
            resumed++;
        }
    }

    private Option<Caller> open(long now) {
        Caller caller = new Caller();
        return budget.open(caller, now)
                .map(
                        account -> {
                            caller.account = account;
                            return caller;
                        });
    }

    private Caller connected() {
        Caller caller = open(0).get();
        budget.connected(caller.account);
        return caller;
    }

    @Test
    void aSessionWithManyUnansweredMessagesIsNotRead() {
        Caller caller = connected();
        for (int i = 0; i < CallerBudget.MAX_UNANSWERED; i++) {
            assertThat(budget.mayRead(caller.account)).isTrue();
            budget.received(caller.account, 10);
        }
        assertThat(budget.mayRead(caller.account)).isFalse();
        budget.answered(caller.account);
        assertThat(budget.mayRead(caller.account)).isTrue();
    }

    @Test
    void aLargeStatementKeepsTheNextOneWaiting() {
        Caller caller = connected();
        budget.received(caller.account, MIB);
        assertThat(budget.mayHandle(caller.account)).isFalse();
        budget.answered(caller.account);
        assertThat(budget.mayHandle(caller.account)).isTrue();
        assertThat(budget.totalBytes()).isZero();
    }

    @Test
    void unreadAnswersKeepTheNextStatementWaiting() {
        Caller caller = connected();
        budget.unread(caller.account, MIB, 0);
        assertThat(budget.mayHandle(caller.account)).isFalse();
        budget.unread(caller.account, 0, MIB);
        assertThat(budget.mayHandle(caller.account)).isTrue();
    }

    @Test
    void largeMessagesAreReceivedInTurn() {
        Caller first = connected();
        Caller second = connected();
        budget.halfMessage(first.account, 100 << 10, 100 << 10);
        budget.halfMessage(second.account, 100 << 10, 100 << 10);
        assertThat(budget.mayRead(first.account)).isTrue();
        assertThat(budget.mayRead(second.account)).isFalse();
        budget.received(first.account, 100 << 10);
        budget.halfMessage(first.account, 0, 10);
        assertThat(budget.mayRead(second.account)).as("the first is in progress").isFalse();
        budget.answered(first.account);
        assertThat(budget.mayRead(second.account)).isTrue();
        assertThat(second.resumed).isPositive();
    }

    @Test
    void aLargeMessageThatStopsGivesWayToOneThatWaits() {
        Caller stopped = connected();
        Caller waiting = connected();
        budget.halfMessage(stopped.account, 100 << 10, 100 << 10);
        budget.halfMessage(waiting.account, 100 << 10, 100 << 10);
        budget.tick(0);
        budget.tick(CallerBudget.GIVE_WAY_NANOS);
        assertThat(closed).containsExactly(stopped);
        assertThat(stopped.reason).isEqualTo(CloseReason.MESSAGE_PROGRESS);
        assertThat(budget.mayRead(waiting.account)).isTrue();
    }

    @Test
    void smallMessagesAreReadWhenAllSessionsHoldTooMuch() {
        for (int i = 0; i < 4; i++) {
            budget.received(connected().account, 3 * MIB);
        }
        Caller small = connected();
        budget.halfMessage(small.account, 1 << 10, 1 << 10);
        assertThat(budget.mayRead(small.account)).isTrue();
        budget.halfMessage(small.account, 5 << 10, 4 << 10);
        assertThat(budget.mayRead(small.account)).isFalse();
    }

    @Test
    void whoeverHoldsMostUnreadIsClosedFirstAndWhoeverWaitsIsNot() {
        Caller waits = connected();
        budget.received(waits.account, 9 * MIB);
        Caller small = connected();
        budget.unread(small.account, 100 << 10, 0);
        Caller large = connected();
        budget.unread(large.account, 2 * MIB, 0);
        budget.tick(0);
        assertThat(closed).isEmpty();
        budget.tick(CallerBudget.EXCESS_NANOS);
        assertThat(closed).containsExactly(large);
        assertThat(large.reason).isEqualTo(CloseReason.TOTAL_BYTES);
        assertThat(budget.totalBytes()).isEqualTo(9 * MIB + (100 << 10));
    }

    @Test
    void twiceTheLimitIsNotWaitedFor() {
        Caller large = connected();
        budget.unread(large.account, 20 * MIB, 0);
        assertThat(closed).containsExactly(large);
        assertThat(budget.totalBytes()).isZero();
    }

    @Test
    void aHalfMessageMustProgressAndASlowOneIsKept() {
        Caller slow = connected();
        Caller stopped = connected();
        for (int second = 0; second <= 60; second++) {
            budget.halfMessage(slow.account, 1 + second, 100);
            budget.halfMessage(stopped.account, 1 + second, 1);
            budget.tick(second * SECOND);
        }
        assertThat(closed).containsExactly(stopped);
        assertThat(stopped.reason).isEqualTo(CloseReason.MESSAGE_PROGRESS);
    }

    @Test
    void anAnswerMustBeReadAndASlowReaderIsKept() {
        Caller slow = connected();
        Caller stopped = connected();
        for (int second = 0; second <= 60; second++) {
            budget.unread(slow.account, 10_000, 100);
            budget.unread(stopped.account, 10_000, 0);
            budget.tick(second * SECOND);
        }
        assertThat(closed).containsExactly(stopped);
        assertThat(stopped.reason).isEqualTo(CloseReason.ANSWER_PROGRESS);
    }

    @Test
    void aSessionThatWaitsForAnAnswerOrIsIdleIsKept() {
        Caller waits = connected();
        budget.received(waits.account, 100);
        connected();
        for (int second = 0; second <= 3_600; second++) {
            budget.tick(second * SECOND);
        }
        assertThat(closed).isEmpty();
    }

    @Test
    void aSessionMustSendConnect() {
        Caller silent = open(0).get();
        budget.tick(10 * SECOND - 1);
        assertThat(closed).isEmpty();
        budget.tick(10 * SECOND);
        assertThat(closed).containsExactly(silent);
        assertThat(silent.reason).isEqualTo(CloseReason.CONNECT_TIMEOUT);
    }

    @Test
    void aNewSessionDisplacesTheOldestWithoutConnect() {
        Caller first = open(0).get();
        open(1).get();
        assertThat(open(2).isDefined()).isTrue();
        assertThat(closed).containsExactly(first);
        assertThat(first.reason).isEqualTo(CloseReason.UNCONNECTED);
        assertThat(budget.unconnectedSessions()).isEqualTo(2);
    }

    @Test
    void noConnectedSessionIsDisplaced() {
        for (int i = 0; i < MAX_SESSIONS; i++) {
            connected();
        }
        assertThat(open(1).isEmpty()).isTrue();
        assertThat(closed).isEmpty();
    }

    @Test
    void aSessionThatHasEndedHoldsNothing() {
        Caller first = connected();
        Caller second = connected();
        budget.halfMessage(first.account, MIB, MIB);
        budget.halfMessage(second.account, MIB, MIB);
        budget.remove(second.account);
        budget.remove(first.account);
        assertThat(budget.totalBytes()).isZero();
        assertThat(budget.sessions()).isZero();
        Caller third = connected();
        budget.halfMessage(third.account, MIB, MIB);
        assertThat(budget.mayRead(third.account)).isTrue();
    }
}
