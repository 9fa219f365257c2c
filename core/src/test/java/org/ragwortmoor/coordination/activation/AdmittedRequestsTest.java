package org.ragwortmoor.coordination.activation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.control.ControlUpdate.RulesText;
import org.ragwortmoor.state.endpoint.Operation;

/**
 * Guards against reporting a version in force while a request that it forbids can still run, and
 * against holding a version back for requests that it allows.
 */
class AdmittedRequestsTest {
    private static final long MS = 1_000_000;
    private static final long LEASE_END = 2_000 * MS;
    private static final String BY = "  # requested by A\n";
    private static final String OPEN = "scope f c/" + BY;
    private static final String CLOSED = OPEN + "partner C f c/" + BY;

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

    private AdmittedRequest enter(String key) {
        return requests.enter(++lastId, "f", List.of(new Operation.Get(key)), "out");
    }

    @Test
    void reportsTheActiveVersionWithoutRequests() {
        assertThat(requests.applied()).isEqualTo(1);
    }

    @Test
    void aRequestThatTheNewVersionForbidsHoldsItBackUntilItEnds() {
        AdmittedRequest first = enter("c/1");
        AdmittedRequest second = enter("c/2");
        accept(2, CLOSED);
        assertThat(requests.applied()).isEqualTo(1);
        assertThat(requests.review(1))
                .extracting(AdmittedRequests.Revocation::request)
                .containsExactlyInAnyOrder(first, second);
        requests.exit(first);
        assertThat(requests.applied()).isEqualTo(1);
        assertThat(requests.review(1)).hasSize(1);
        requests.exit(second);
        assertThat(requests.applied()).isEqualTo(2);
    }

    @Test
    void aRequestThatTheNewVersionAllowsDoesNotHoldItBack() {
        enter("x/1");
        accept(2, CLOSED);
        assertThat(requests.applied()).isEqualTo(1);
        assertThat(requests.review(1)).isEmpty();
        assertThat(requests.applied()).isEqualTo(2);
    }

    @Test
    void oneForbiddenOperationRevokesTheWholeRequest() {
        List<Operation> both = List.of(new Operation.Get("x/1"), new Operation.Increment("c/1", 1));
        AdmittedRequest request = requests.enter(++lastId, "f", both, "out");
        accept(2, CLOSED);
        assertThat(requests.review(1)).hasSize(1);
        assertThat(requests.applied()).isEqualTo(1);
        requests.exit(request);
        assertThat(requests.applied()).isEqualTo(2);
    }

    @Test
    void theEndOfTheLeaseRevokesWhatAMissedVersionCouldForbid() {
        AdmittedRequest scoped = enter("c/1");
        enter("x/1");
        assertThat(requests.review(LEASE_END - 1)).isEmpty();
        assertThat(requests.review(LEASE_END))
                .extracting(AdmittedRequests.Revocation::request)
                .containsExactly(scoped);
        assertThat(requests.review(scoped, LEASE_END).get().decision())
                .isInstanceOf(GateDecision.HeldBack.class);
    }
}
