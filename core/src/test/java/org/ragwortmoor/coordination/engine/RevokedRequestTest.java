package org.ragwortmoor.coordination.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.Operation;

/** Tests the handling of requests that the rules no longer allow. */
class RevokedRequestTest extends EngineTestCase {
    private void revoke() {
        proxy.handle(new EngineEvent.RequestRevoked(lastId, ErrorKind.FORBIDDEN, "line 2"));
    }

    /** A queued write must not run after the rules version that forbids it is in force. */
    @Test
    void revokedWriteThatWaitsDoesNotRun() {
        group.time.runUntil(300 * MILLI);
        List<CallerAnswer> queued = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            proxy.call(increment("k", "w" + i), queued::add);
        }
        long revoked = lastId;
        revoke();
        assertThat(queued).hasSize(1);
        assertThat(((CallerAnswer.NotRun) queued.get(0)).kind()).isEqualTo(ErrorKind.FORBIDDEN);
        group.time.runUntil(group.time.now() + 400 * MILLI);
        assertThat(queued).hasSize(20);
        assertThat(queued.stream().filter(a -> a.id() == revoked)).hasSize(1);
        CallerAnswer.Done read =
                (CallerAnswer.Done) call(get("k", ReadLevel.STRONG, Position.ZERO));
        assertThat(read.records().get(0).value().get()).isEqualTo("19");
    }

    /** "Not run" would be wrong for a write that the primary may be executing. */
    @Test
    void revokedWriteThatWasSentIsAnsweredAsDone() {
        group.time.runUntil(300 * MILLI);
        List<CallerAnswer> sent = new ArrayList<>();
        proxy.call(increment("k", "w1"), sent::add);
        revoke();
        assertThat(sent).isEmpty();
        group.time.runUntil(group.time.now() + 400 * MILLI);
        assertThat(sent).hasOnlyElementsOfType(CallerAnswer.Done.class).hasSize(1);
    }

    /** A read has no effect, so the new rules version need not wait for it. */
    @Test
    void revokedReadIsRefusedAtOnce() {
        group.time.runUntil(300 * MILLI);
        List<CallerAnswer> sent = new ArrayList<>();
        proxy.call(get("k", ReadLevel.STRONG, Position.ZERO), sent::add);
        revoke();
        assertThat(sent).hasOnlyElementsOfType(CallerAnswer.NotRun.class).hasSize(1);
        group.time.runUntil(group.time.now() + 400 * MILLI);
        assertThat(sent).hasSize(1);
    }

    /** Otherwise a later commit could include operations that the rules no longer allow. */
    @Test
    void revokedStatementEndsItsTransaction() {
        group.time.runUntil(300 * MILLI);
        String transaction = begin().transaction();
        List<CallerAnswer> sent = new ArrayList<>();
        proxy.call(
                new CallerRequest.InTransaction(
                        ++lastId,
                        "s",
                        transaction,
                        List.of(new Operation.Increment("k", 1)),
                        1000,
                        deadline()),
                sent::add);
        revoke();
        assertThat(sent).hasOnlyElementsOfType(CallerAnswer.NotRun.class).hasSize(1);
        assertThat(commit(transaction, "s", "c1")).isInstanceOf(CallerAnswer.NotRun.class);
    }
}
