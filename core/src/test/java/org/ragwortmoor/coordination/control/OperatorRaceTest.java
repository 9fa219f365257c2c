package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.control.CommandResult.Outcome;
import org.ragwortmoor.coordination.control.OperatorAnswer.Kind;

/** Guards against incorrect answers when operators race, retry or lose the leader. */
class OperatorRaceTest {
    private final ControlFixture fixture = new ControlFixture(3).standard(4);

    @BeforeEach
    void start() {
        fixture.run(3_000);
    }

    private OperatorRequest.Apply apply(String id, long expected, String text) {
        return new OperatorRequest.Apply(fixture.operation(id), expected, text);
    }

    private OperatorAnswer answer(int index) {
        return fixture.answers.get(index);
    }

    @Test
    void theSecondOfTwoEqualVersionsGetsAConflictWithTheWinner() {
        fixture.operator(apply("op-1", 0, "one"));
        fixture.operator(apply("op-2", 0, "two"));
        fixture.run(10);
        assertThat(answer(0).result().outcome()).isEqualTo(Outcome.ACCEPTED);
        assertThat(answer(1).result().outcome()).isEqualTo(Outcome.CONFLICT);
        assertThat(answer(1).result().winner().get().operationId()).isEqualTo("op-1");
        assertThat(fixture.state.rules().current().get().text()).contains("one");
    }

    @Test
    void aRetryAfterALostAnswerAndALeaderChangeReturnsTheFirstResult() {
        fixture.operator(apply("op-1", 0, "one"));
        fixture.run(10);
        fixture.newLeader();
        fixture.operator(apply("op-1", 0, "one"));
        assertThat(answer(1)).isEqualTo(answer(0));
        assertThat(fixture.state.rules().version()).isEqualTo(1);
    }

    @Test
    void aPendingRequestIsAnsweredAsUnknownWhenLeadershipIsLost() {
        fixture.operator(apply("op-1", 0, "one"));
        fixture.feed(new ControlEvent.LostLeadership());
        assertThat(answer(0).kind()).isEqualTo(Kind.UNKNOWN);
        fixture.operator(apply("op-1", 0, "one"));
        assertThat(answer(1).kind()).isEqualTo(Kind.NOT_READY);
    }

    /** A proposal may never be committed, for example without a quorum. */
    @Test
    void anUndecidedRequestIsAnsweredAfterFiveSeconds() {
        fixture.commitDelay = 60_000 * ControlFixture.MS;
        fixture.operator(apply("op-1", 0, "one"));
        fixture.run(5_100);
        assertThat(answer(0).kind()).isEqualTo(Kind.UNKNOWN);
    }

    @Test
    void invalidTextAndReusedIdsAreRejected() {
        fixture.operator(apply("op-1", 0, "error"));
        assertThat(answer(0).kind()).isEqualTo(Kind.INVALID);
        assertThat(answer(0).result().message()).contains("line is wrong");
        fixture.operator(apply("op-2", 0, "one"));
        fixture.operator(apply("op-2", 0, "two"));
        assertThat(answer(1).kind()).isEqualTo(Kind.INVALID);
        fixture.run(10);
        assertThat(answer(2).result().outcome()).isEqualTo(Outcome.ACCEPTED);
    }

    /**
     * Tests that a drain by an operator reaches the proxies within the target of 3 s for leaving
     * endpoints.
     */
    @Test
    void aDrainedEndpointIsShownAsLeavingUntilTheDrainEnds() {
        for (boolean drained : new boolean[] {true, false}) {
            fixture.operator(
                    new OperatorRequest.Drain(
                            fixture.operation("drain-" + drained), "fleet", "e2", drained));
            fixture.run(1_000);
            assertThat(fixture.proxies.values())
                    .allMatch(p -> p.groups.get("fleet").endpoint("e2").get().leaving() == drained);
        }
    }
}
