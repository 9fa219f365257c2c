package org.ragwortmoor.coordination.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * Guards the basic paths: confirmed writes, replica reads, strong reads, transactions, stopping.
 */
class GroupEngineTest {
    private static final long MILLI = VirtualTime.MILLI;

    private final FakeGroup group = new FakeGroup(3, 2, 30, 2 * MILLI, 1);
    private final FakeGroup.Proxy proxy = group.addProxy(EngineSettings.defaults(), 4, 1);
    private final List<CallerAnswer> answers = new ArrayList<>();
    private long lastId;

    private CallerAnswer call(CallerRequest request) {
        answers.clear();
        proxy.call(request, answers::add);
        group.time.runUntil(group.time.now() + 1000 * MILLI);
        assertThat(answers).hasSize(1);
        return answers.get(0);
    }

    private long deadline() {
        return group.time.now() + 500 * MILLI;
    }

    private CallerRequest.Write increment(String key, String id) {
        return new CallerRequest.Write(
                ++lastId,
                "s",
                List.of(new Operation.Increment(key, 1)),
                new WriteIdentity(id, 1),
                false,
                "w",
                1000,
                deadline());
    }

    private CallerRequest.Read get(String key, ReadLevel level, Position position) {
        return new CallerRequest.Read(
                ++lastId,
                "s",
                List.of(new Operation.Get(key)),
                level,
                level == ReadLevel.AGE ? 400 * MILLI : 0,
                position,
                "r",
                1000,
                deadline());
    }

    @Test
    void writeIsConfirmedAndReadFromReplica() {
        group.time.runUntil(300 * MILLI);
        CallerAnswer.Done written = (CallerAnswer.Done) call(increment("k", "w1"));
        assertThat(group.endpoints.stream().filter(e -> e.status().contains(written.position())))
                .hasSizeGreaterThanOrEqualTo(2);
        for (ReadLevel level : ReadLevel.values()) {
            CallerAnswer.Done read = (CallerAnswer.Done) call(get("k", level, written.position()));
            assertThat(read.records().get(0).value().get()).isEqualTo("1");
            assertThat(read.replica()).isEqualTo(level != ReadLevel.STRONG);
        }
    }

    @Test
    void sameKeyIsExecutedOnce() {
        assertThat(call(increment("k", "w1"))).isInstanceOf(CallerAnswer.Done.class);
        CallerAnswer.Done again = (CallerAnswer.Done) call(increment("k", "w1"));
        assertThat(again.duplicate()).isTrue();
        CallerAnswer.Done read =
                (CallerAnswer.Done) call(get("k", ReadLevel.STRONG, Position.ZERO));
        assertThat(read.records().get(0).value().get()).isEqualTo("1");
    }

    @Test
    void writeWithoutMajorityIsUnknownAndResolvedLater() {
        group.time.runUntil(300 * MILLI);
        group.stalled.add("e1");
        group.stalled.add("e2");
        assertThat(call(increment("k", "w1"))).isInstanceOf(CallerAnswer.Unknown.class);
        group.heal();
        CallerAnswer resolved =
                call(
                        new CallerRequest.Resolve(
                                ++lastId, "s", new WriteIdentity("w1", 1), deadline()));
        assertThat(resolved).isInstanceOf(CallerAnswer.Done.class);
    }

    @Test
    void stopFinishesWhatIsInFlight() {
        group.time.runUntil(300 * MILLI);
        List<CallerAnswer> inFlight = new ArrayList<>();
        proxy.call(increment("k", "w1"), inFlight::add);
        proxy.handle(new EngineEvent.StopRequested());
        assertThat(call(increment("k", "w2"))).isInstanceOf(CallerAnswer.NotRun.class);
        assertThat(inFlight).hasOnlyElementsOfType(CallerAnswer.Done.class).hasSize(1);
        assertThat(proxy.engine.stopped()).isTrue();
        assertThat(group.primary().log).hasSize(2);
    }
}
