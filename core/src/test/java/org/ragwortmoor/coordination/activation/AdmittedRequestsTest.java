package org.ragwortmoor.coordination.activation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.control.ControlUpdate.RulesText;
import org.ragwortmoor.state.endpoint.Operation;

/**
 * A version must not be reported as in force while a request that it forbids can still run, and
 * must not be delayed by requests that it allows.
 */
class AdmittedRequestsTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long LEASE_END_NANOS = 2_000 * NANOS_PER_MILLI;
    private static final String REQUESTED_BY = "  # requested by A\n";
    private static final String OPEN = "scope f c/" + REQUESTED_BY;
    private static final String CLOSED = OPEN + "partner C f c/" + REQUESTED_BY;

    private final RulesGate gate = new RulesGate();
    private final AdmittedRequests requests = new AdmittedRequests(gate);
    private long lastId;

    @BeforeEach
    void firstVersion() {
        accept(1, OPEN);
    }

    private void accept(long version, String text) {
        gate.accept(RulesGateTest.update(1, 0, new RulesText(version, text), null));
    }

    private AdmittedRequest register(String key) {
        return requests.register(++lastId, "f", List.of(new Operation.Get(key)), "out");
    }

    @Test
    void reportsTheActiveVersionWithoutRequests() {
        assertThat(requests.appliedVersion()).isEqualTo(1);
    }

    @Test
    void aRequestThatTheNewVersionForbidsHoldsItBackUntilItEnds() {
        AdmittedRequest first = register("c/1");
        AdmittedRequest second = register("c/2");
        accept(2, CLOSED);
        assertThat(requests.appliedVersion()).isEqualTo(1);
        assertThat(requests.evaluate(1))
                .extracting(AdmittedRequests.Revocation::request)
                .containsExactlyInAnyOrder(first, second);
        requests.unregister(first);
        assertThat(requests.appliedVersion()).isEqualTo(1);
        assertThat(requests.evaluate(1)).hasSize(1);
        requests.unregister(second);
        assertThat(requests.appliedVersion()).isEqualTo(2);
    }

    @Test
    void aRequestThatTheNewVersionAllowsDoesNotHoldItBack() {
        register("x/1");
        accept(2, CLOSED);
        assertThat(requests.appliedVersion()).isEqualTo(1);
        assertThat(requests.evaluate(1)).isEmpty();
        assertThat(requests.appliedVersion()).isEqualTo(2);
    }

    @Test
    void oneForbiddenOperationRevokesTheWholeRequest() {
        List<Operation> both = List.of(new Operation.Get("x/1"), new Operation.Increment("c/1", 1));
        AdmittedRequest request = requests.register(++lastId, "f", both, "out");
        accept(2, CLOSED);
        assertThat(requests.evaluate(1)).hasSize(1);
        assertThat(requests.appliedVersion()).isEqualTo(1);
        requests.unregister(request);
        assertThat(requests.appliedVersion()).isEqualTo(2);
    }

    @Test
    void theEndOfTheLeaseRevokesWhatAMissedVersionCouldForbid() {
        AdmittedRequest scoped = register("c/1");
        register("x/1");
        assertThat(requests.evaluate(LEASE_END_NANOS - 1)).isEmpty();
        assertThat(requests.evaluate(LEASE_END_NANOS))
                .extracting(AdmittedRequests.Revocation::request)
                .containsExactly(scoped);
        assertThat(requests.evaluate(scoped, LEASE_END_NANOS).get().decision())
                .isInstanceOf(GateDecision.HeldBack.class);
    }
}
