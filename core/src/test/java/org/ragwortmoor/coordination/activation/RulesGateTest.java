package org.ragwortmoor.coordination.activation;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.ragwortmoor.coordination.control.ControlUpdate;
import org.ragwortmoor.coordination.control.ControlUpdate.RulesText;
import org.ragwortmoor.state.endpoint.Operation;

/**
 * Records that a missed version may forbid must not be served; versions, terms and leases must not
 * move back.
 */
class RulesGateTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long LEASE_MILLIS = 2_000;
    private static final String REQUESTED_BY = "  # requested by A\n";
    private static final String SCOPED =
            "scope f c/"
                    + REQUESTED_BY
                    + "partner C f c/"
                    + REQUESTED_BY
                    + "allow read session=in partner=C"
                    + REQUESTED_BY;
    private static final String WIDER = SCOPED + "scope f d/" + REQUESTED_BY;

    private final RulesGate gate = new RulesGate();

    static ControlUpdate update(long term, long sent, RulesText rules, RulesText pending) {
        return new ControlUpdate(
                "p",
                term,
                1,
                sent,
                LEASE_MILLIS,
                LEASE_MILLIS,
                Option.of(rules),
                Option.of(pending),
                List.of(),
                List.of(),
                List.of(),
                1,
                0);
    }

    private UpdateResult.Kind accept(long term, long sent, RulesText rules, RulesText pending) {
        return gate.accept(update(term, sent, rules, pending)).kind();
    }

    private String read(String key, String principal, long now) {
        GateDecision decision = gate.decide("f", new Operation.Get(key), principal, now);
        return decision.getClass().getSimpleName();
    }

    @Example
    void holdsEverythingBackBeforeTheFirstVersion() {
        assertThat(read("x", "in", 0)).isEqualTo("HeldBack");
        // After a restore, wider scopes take effect only once such a proxy has prepared them, too.
        assertThat(accept(1, 0, null, new RulesText(2, WIDER)))
                .isEqualTo(UpdateResult.Kind.CHANGED);
        assertThat(gate.preparedVersion()).isEqualTo(2);
        assertThat(gate.version()).isEqualTo(RulesGate.NO_VERSION);
        assertThat(read("x", "in", 1)).isEqualTo("HeldBack");
        assertThat(accept(1, 0, new RulesText(0, ""), null)).isEqualTo(UpdateResult.Kind.CHANGED);
        assertThat(read("x", "in", 1)).isEqualTo("Allowed");
    }

    @Example
    void decidesByTheActiveVersionWithLineAndRequester() {
        accept(1, 0, new RulesText(1, SCOPED), null);
        assertThat(read("c/1", "in", 5)).isEqualTo("Allowed");
        assertThat(read("c/1", "out", 5)).isEqualTo("Forbidden");
        assertThat(gate.decide("f", new Operation.Delete("c/1"), "in", 5).message())
                .contains("line 2", "requested by A");
        assertThat(gate.decide("f", new Operation.Scan("c/", "", 9), "out", 5).allowed()).isFalse();
        assertThat(gate.decide("f", new Operation.Scan("", "", 9), "out", 5).allowed()).isTrue();
    }

    @Example
    void holdsActiveAndPreparedScopesBackWhenTheLeaseEnds() {
        accept(1, 10 * NANOS_PER_MILLI, new RulesText(1, SCOPED), new RulesText(2, WIDER));
        long end = (10 + LEASE_MILLIS) * NANOS_PER_MILLI;
        assertThat(read("c/1", "in", end - 1)).isEqualTo("Allowed");
        assertThat(read("d/1", "in", end - 1)).isEqualTo("Allowed");
        assertThat(read("c/1", "in", end)).isEqualTo("HeldBack");
        assertThat(read("d/1", "in", end)).isEqualTo("HeldBack");
        assertThat(read("e/1", "in", end)).isEqualTo("Allowed");
        assertThat(gate.decide("f", new Operation.Scan("", "", 9), "in", end).allowed()).isFalse();
        assertThat(gate.hasValidRules(end)).isFalse();
        // An answer to an older report must not shorten the lease; a newer one extends it.
        accept(1, 0, null, null);
        accept(1, 20 * NANOS_PER_MILLI, null, null);
        assertThat(read("c/1", "in", end)).isEqualTo("Allowed");
    }

    @Example
    void dropsThePreparedVersionWhenItTakesEffect() {
        accept(1, 0, new RulesText(1, SCOPED), new RulesText(2, WIDER));
        assertThat(gate.preparedVersion()).isEqualTo(2);
        accept(1, 0, null, null);
        assertThat(gate.preparedVersion()).isEqualTo(2);
        accept(1, 0, new RulesText(2, WIDER), null);
        assertThat(gate.preparedVersion()).isZero();
        assertThat(accept(1, 0, null, new RulesText(2, WIDER)))
                .isEqualTo(UpdateResult.Kind.CONFIRMED);
        assertThat(gate.preparedVersion()).isZero();
    }

    @Example
    void refusesStaleUnreadableAndContradictoryUpdatesWithTheirLease() {
        accept(2, 0, new RulesText(5, SCOPED), null);
        long late = 100 * NANOS_PER_MILLI;
        assertThat(accept(1, late, null, null)).isEqualTo(UpdateResult.Kind.STALE);
        assertThat(accept(3, late, new RulesText(4, ""), null)).isEqualTo(UpdateResult.Kind.STALE);
        assertThat(accept(2, late, new RulesText(5, ""), null))
                .isEqualTo(UpdateResult.Kind.REFUSED);
        assertThat(accept(2, late, new RulesText(6, "scope"), null))
                .isEqualTo(UpdateResult.Kind.REFUSED);
        assertThat(gate.version()).isEqualTo(5);
        assertThat(gate.leaderTerm()).isEqualTo(2);
        assertThat(gate.hasValidRules(LEASE_MILLIS * NANOS_PER_MILLI)).isFalse();
    }

    @Example
    void comparesTimesThatWrap() {
        long sent = Long.MAX_VALUE - 5;
        accept(1, sent, new RulesText(1, SCOPED), null);
        assertThat(read("c/1", "in", sent + 10)).isEqualTo("Allowed");
        assertThat(read("c/1", "in", sent + LEASE_MILLIS * NANOS_PER_MILLI)).isEqualTo("HeldBack");
    }

    @Property(tries = 300, seed = "20261204")
    void versionTermAndLeaseNeverGoBack(
            @ForAll @Size(max = 20) List<@IntRange(max = 999) Integer> steps) {
        RulesGate subject = new RulesGate();
        long term = 0;
        long version = RulesGate.NO_VERSION;
        long sentOfLease = -1;
        for (int step : steps) {
            RulesText rules = new RulesText(step % 10, SCOPED);
            long sent = step / 100;
            UpdateResult result = subject.accept(update(step / 10 % 10, sent, rules, null));
            assertThat(subject.version()).isGreaterThanOrEqualTo(version);
            assertThat(subject.leaderTerm()).isGreaterThanOrEqualTo(term);
            if (result.kind() == UpdateResult.Kind.STALE) {
                assertThat(subject.version()).isEqualTo(version);
            } else {
                sentOfLease = Math.max(sentOfLease, sent);
            }
            version = subject.version();
            term = subject.leaderTerm();
            assertThat(subject.hasValidRules(sentOfLease + LEASE_MILLIS * NANOS_PER_MILLI - 1))
                    .isTrue();
            assertThat(subject.hasValidRules(sentOfLease + LEASE_MILLIS * NANOS_PER_MILLI))
                    .isFalse();
        }
    }
}
