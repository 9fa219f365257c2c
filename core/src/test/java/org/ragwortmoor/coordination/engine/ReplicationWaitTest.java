package org.ragwortmoor.coordination.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * A read whose wait for replication ends immediately, before it has left the queue, must be
 * answered.
 */
class ReplicationWaitTest {
    private static final long MILLI = VirtualTime.MILLI;

    private final FakeGroup group = new FakeGroup(3, 2, 30, 2 * MILLI, 1);
    private final FakeGroup.Proxy proxy = group.addProxy(EngineSettings.defaults(), 4, 1);

    private CallerAnswer call(CallerRequest request) {
        List<CallerAnswer> answers = new ArrayList<>();
        proxy.call(request, answers::add);
        group.time.runUntil(group.time.now() + 1000 * MILLI);
        assertThat(answers).hasSize(1);
        return answers.get(0);
    }

    private long deadline() {
        return group.time.now() + 500 * MILLI;
    }

    @Test
    void readIsAnsweredWhileTheOnlyReplicaWithItsPositionIsLeaving() {
        group.time.runUntil(300 * MILLI);
        group.find("e1").leaving = true;
        group.time.runUntil(600 * MILLI);
        group.stalled.add("e2");
        CallerRequest write =
                new CallerRequest.Write(
                        1,
                        "s",
                        List.of(new Operation.Increment("k", 1)),
                        new WriteIdentity("w1", 1),
                        false,
                        "w",
                        1000,
                        deadline());
        CallerAnswer.Done written = (CallerAnswer.Done) call(write);
        CallerRequest read =
                new CallerRequest.Read(
                        2,
                        "s",
                        List.of(new Operation.Get("k")),
                        ReadLevel.SESSION,
                        0,
                        written.position(),
                        "r",
                        1000,
                        deadline());
        assertThat(call(read)).isInstanceOf(CallerAnswer.Done.class);
        assertThat(proxy.engine.dump().counters())
                .as("the read waited for replication")
                .containsKey(Counter.REPLICATION_WAITS);
    }
}
