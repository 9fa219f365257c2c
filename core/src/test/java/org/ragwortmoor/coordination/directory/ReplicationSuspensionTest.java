package org.ragwortmoor.coordination.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;

/** Guards against replicas that stay suspended, or receive before a promotion is carried out. */
class ReplicationSuspensionTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final FailoverAction.RecordSuspension END =
            new FailoverAction.RecordSuspension("g", false);

    private final ReplicationSuspension suspension = new ReplicationSuspension("g");
    private final ServerRecord s1 = server("s1", 1);
    private final ServerRecord s2 = server("s2", 1);
    private final List<ServerRecord> both = List.of(s1, s2);
    private long now = 1_000 * MILLI;

    private static ServerRecord server(String id, long startedAt) {
        return new ServerRecord(
                id, startedAt, "g", "10.0.0.1:" + id, "a", 5, ServerState.READY, false, 0);
    }

    private void report(ServerRecord server, long term, long suspendedTerm) {
        suspension.record(
                server, new ServerStatus(false, term, new Position(term, 9), suspendedTerm));
    }

    @BeforeEach
    void start() {
        suspension.reset(now);
    }

    @Test
    void eachServerIsResumedUntilItHasConfirmedIt() {
        suspension.release(now);
        assertThat(suspension.tick(both, now))
                .containsExactly(
                        new FailoverAction.ResumeReplication(s1),
                        new FailoverAction.ResumeReplication(s2));
        report(s1, 3, 0);
        now += 200 * MILLI;
        assertThat(suspension.tick(both, now))
                .containsExactly(new FailoverAction.ResumeReplication(s2));
        report(s2, 3, 0);
        assertThat(suspension.tick(both, now)).containsExactly(END);
        // The record may have been lost.
        assertThat(suspension.tick(both, now)).isEmpty();
        now += 1_000 * MILLI;
        assertThat(suspension.tick(both, now)).containsExactly(END);
    }

    @Test
    void aServerThatStartsAgainIsInstructedAtOnce() {
        report(s1, 3, 104);
        report(s2, 3, 104);
        assertThat(suspension.keep(both, now)).isEmpty();
        ServerRecord restarted = server("s2", 2);
        assertThat(suspension.keep(List.of(s1, restarted), now))
                .containsExactly(new FailoverAction.SuspendReplication(restarted, 103));
    }

    @Test
    void aSuspensionThatIsNotAboveTheHighestTermDoesNotCount() {
        report(s1, 3, 4);
        assertThat(suspension.keep(List.of(s1), now)).isEmpty();
        report(s2, 4, 105);
        assertThat(suspension.keep(both, now))
                .containsExactly(new FailoverAction.SuspendReplication(s1, 104));
    }

    @Test
    void aServerThatDoesNotAnswerIsInstructedLessAndLessOften() {
        suspension.release(now);
        List<FailoverAction> sent = new ArrayList<>();
        for (int tick = 0; tick < 500; tick++) {
            sent.addAll(suspension.tick(List.of(s1), now));
            now += 20 * MILLI;
        }
        assertThat(sent).hasSizeBetween(8, 12);
        assertThat(sent).doesNotContain(END);
    }

    @Test
    void noSuspensionBeginsWhileAnInstructionToResumeMayArrive() {
        now += 1_000 * MILLI;
        assertThat(suspension.quiet(now)).isTrue();
        suspension.release(now);
        suspension.tick(both, now);
        assertThat(suspension.quiet(now)).isFalse();
        suspension.hold();
        now += 1_000 * MILLI;
        assertThat(suspension.quiet(now)).isTrue();
    }

    @Test
    void aNewLeaderWaitsForInstructionsOfItsPredecessor() {
        assertThat(suspension.quiet(now)).isFalse();
        assertThat(suspension.quiet(now + 1_000 * MILLI)).isTrue();
    }
}
