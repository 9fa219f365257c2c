package org.ragwortmoor.coordination.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** Fixture: one proxy and one group of three endpoints in virtual time. */
abstract class EngineTestCase {
    static final long MILLI = VirtualTime.MILLI;

    final FakeGroup group = new FakeGroup(3, 2, 30, 2 * MILLI, 1);
    final FakeGroup.Proxy proxy = group.addProxy(EngineSettings.defaults(), 4, 1);
    final List<CallerAnswer> answers = new ArrayList<>();
    long lastId;

    CallerAnswer call(CallerRequest request) {
        answers.clear();
        proxy.call(request, answers::add);
        group.time.runUntil(group.time.now() + 1000 * MILLI);
        assertThat(answers).hasSize(1);
        return answers.get(0);
    }

    long deadline() {
        return group.time.now() + 500 * MILLI;
    }

    CallerRequest.Write increment(String key, String id) {
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

    CallerRequest.Read get(String key, ReadLevel level, Position position) {
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

    CallerAnswer.Done begin() {
        return (CallerAnswer.Done)
                call(
                        new CallerRequest.Begin(
                                ++lastId, "s", group.time.now() + 5000 * MILLI, deadline()));
    }

    CallerAnswer commit(String transaction, String session, String key) {
        return call(
                new CallerRequest.Commit(
                        ++lastId, session, transaction, new WriteIdentity(key, 1), deadline()));
    }
}
