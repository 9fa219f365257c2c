package org.ragwortmoor.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards rules, votes and daily service against failures of control processes. */
class ControlFailureTest extends ProcessTestCase {
    private static final int CALLERS = 4;
    private static final int SOME_WRITES = 40;

    /**
     * Time in which a group that wrongly counts a vote would elect a leader: more than five times
     * the second that an election takes.
     */
    private static final long NO_LEADER_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** The rules lease of 2 s, and 1 s for the report and its answer that were on the way. */
    private static final long LEASE_OVER_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** The share lease of 3 s, and 1 s for the report and its answer that were on the way. */
    private static final long SHARES_OVER_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Enough for the proxy to learn that a label is long. */
    private static final int LONG_SAMPLES = 30;

    private static final String SCOPED =
            """
            scope fleet-colina partner/ # requested by Court: order 12/3
            partner Carritos fleet-colina partner/ # requested by Court: order 12/3
            allow read,write session=dispatch* partner=Carritos # requested by A. Soto: service
            """;

    @AfterEach
    void repair() {
        for (ManagedProcess control : harness.controls()) {
            if (!control.alive()) {
                control.start();
            }
        }
        harness.leader();
        harness.awaitServing();
        harness.await(
                "answers of all control processes",
                () ->
                        harness.controls().stream()
                                .allMatch(c -> version(c) == version(harness.leader())));
    }

    private static long version(ManagedProcess process) {
        return Api.get(process.address(), "/v1/status").path("rulesVersion").asLong(-1);
    }

    private ManagedProcess otherThan(ManagedProcess... excluded) {
        return harness.controls().stream()
                .filter(c -> !List.of(excluded).contains(c))
                .findFirst()
                .orElseThrow();
    }

    private void awaitLeaderOtherThan(ManagedProcess former) {
        harness.await(
                "a leader other than " + former.name(),
                () -> harness.leaders().stream().anyMatch(leader -> !leader.equals(former)));
    }

    private static String text(String mark) {
        return SCOPED + "age fleet-colina " + mark + "/ 5s # requested by M. Vera: " + mark + "\n";
    }

    /** Applies a version that only differs in its mark and does not widen the scopes. */
    private long applyNext(String mark) {
        long before = rulesVersion();
        JsonNode answer = applyThroughLeader(before, "apply-" + mark, "M. Vera", text(mark));
        assertThat(Api.outcome(answer)).as("%s", answer).isIn("done", "pending");
        return before + 1;
    }

    private void awaitOnProxies(long version) {
        harness.await(
                "version " + version + " on both proxies",
                () -> harness.proxies().stream().allMatch(p -> version(p) == version));
    }

    @Test
    void killedLeaderIsReplacedAndRulesDoNotRevert() {
        long version = applyNext("leader-killed");
        awaitOnProxies(version);
        ManagedProcess former = harness.leader();
        try (CallerLoad load = CallerLoad.start("leader", harness.proxyAddresses(), CALLERS);
                RulesWatch watch = new RulesWatch(harness.proxyAddresses())) {
            load.awaitProgress(harness, SOME_WRITES);
            former.kill();
            awaitLeaderOtherThan(former);
            assertThat(rulesVersion()).isEqualTo(version);
            long next = applyNext("leader-replaced");
            awaitOnProxies(next);
            former.start();
            harness.await("the returned process", () -> version(former) == next);
            load.awaitProgress(harness, SOME_WRITES);
            load.finish();
            watch.check();
        }
    }

    @Test
    void frozenLeaderDoesNotActAfterItThaws() {
        long version = applyNext("leader-frozen");
        awaitOnProxies(version);
        ManagedProcess former = harness.leader();
        try (CallerLoad load = CallerLoad.start("frozen", harness.proxyAddresses(), CALLERS);
                RulesWatch watch = new RulesWatch(harness.proxyAddresses())) {
            former.freeze();
            CompletableFuture<JsonNode> late =
                    CompletableFuture.supplyAsync(
                            () -> apply(former.address(), version, "late", "Late", text("late")));
            awaitLeaderOtherThan(former);
            long next = applyNext("while-frozen");
            awaitOnProxies(next);
            former.thaw();
            assertThat(Api.outcome(late.join()))
                    .as("answer of the former leader")
                    .isNotEqualTo("done");
            harness.await("the thawed process", () -> version(former) == next);
            assertThat(rulesVersion()).isEqualTo(next);
            awaitOnProxies(next);
            load.awaitProgress(harness, SOME_WRITES);
            load.finish();
            watch.check();
        } finally {
            former.thaw();
        }
    }

    @Test
    void memberWithAWipedDiskHasNoVoteUntilItIsRepaired() {
        long version = applyNext("disk-wiped");
        ManagedProcess leader = harness.leader();
        ManagedProcess wiped = otherThan(leader);
        ManagedProcess third = otherThan(leader, wiped);
        wiped.kill();
        wiped.wipeData();
        wiped.start();
        harness.await("the wiped process", () -> version(wiped) >= 0);

        leader.kill();
        long end = System.nanoTime() + NO_LEADER_NANOS;
        while (System.nanoTime() - end < 0) {
            assertThat(harness.leaders()).as("leaders of one voter and a wiped disk").isEmpty();
        }
        leader.start();
        ManagedProcess elected = harness.leader();
        assertThat(elected).isNotEqualTo(wiped);

        JsonNode[] repaired = new JsonNode[1];
        String body =
                "{'node':'%s','operationId':'repair-1','operator':'M. Vera'}"
                        .formatted(wiped.name());
        harness.await(
                "the repair",
                () -> {
                    repaired[0] = Api.post(harness.leader().address(), "/v1/members/repair", body);
                    return Api.outcome(repaired[0]).equals("done");
                });
        third.kill();
        long next = applyNext("after-repair");
        assertThat(next).isEqualTo(version + 1);
        awaitOnProxies(next);
        harness.await("the repaired process", () -> version(wiped) == next);
    }

    @Test
    void dailyServiceGoesOnWithoutControlAndScopedRecordsAreHeldBack() {
        long version = applyNext("control-stopped");
        awaitOnProxies(version);
        try (CallerLoad load = CallerLoad.start("daily", harness.proxyAddresses(), CALLERS)) {
            load.awaitProgress(harness, SOME_WRITES);
            String token = ProcessHarness.session(harness.proxy(1), "dispatch-1");
            assertThat(Api.outcome(put(harness.proxy(1), token, "partner/1", "a")))
                    .isEqualTo("done");
            harness.controls().forEach(ManagedProcess::kill);
            long end = System.nanoTime() + LEASE_OVER_NANOS;
            harness.await("the end of the rules lease", () -> System.nanoTime() - end > 0);
            load.awaitProgress(harness, SOME_WRITES);
            for (String proxy : harness.proxyAddresses()) {
                assertThat(Api.errorKind(read(proxy, token, "partner/1")))
                        .isEqualTo("RULES_EXPIRED");
                assertThat(Api.errorKind(put(proxy, token, "partner/1", "b")))
                        .isEqualTo("RULES_EXPIRED");
            }
            load.awaitProgress(harness, SOME_WRITES);
            harness.controls().forEach(ManagedProcess::start);
            for (String proxy : harness.proxyAddresses()) {
                harness.await(
                        "scoped records through " + proxy,
                        () -> Api.outcome(read(proxy, token, "partner/1")).equals("done"));
                assertThat(value(read(proxy, token, "partner/1"))).isEqualTo("a");
            }
            load.awaitProgress(harness, SOME_WRITES);
            load.finish();
            assertThat(load.uncertain()).as("requests without definite outcome").isEmpty();
            assertThat(load.refused()).as("refused requests").isEmpty();
        }
    }

    /**
     * Long work needs permits, which are leased; a proxy without control must not lose them all.
     */
    @Test
    void longWorkGoesOnWithoutControl() {
        String token = ProcessHarness.session(harness.proxy(1), "report");
        for (int i = 0; i < LONG_SAMPLES; i++) {
            JsonNode written = longWrite(token);
            assertThat(Api.outcome(written)).as("%s", written).isEqualTo("done");
        }
        harness.controls().forEach(ManagedProcess::kill);
        long end = System.nanoTime() + SHARES_OVER_NANOS;
        harness.await("the end of the shares", () -> System.nanoTime() - end > 0);
        JsonNode written = longWrite(token);
        assertThat(Api.outcome(written)).as("%s", written).isEqualTo("done");
    }

    private JsonNode longWrite(String token) {
        String body =
                ("{'token':'%s','group':'%s','label':'report','serviceMicros':100000,"
                                + "'deadlineMillis':10000,"
                                + "'operations':[{'op':'put','key':'report','value':'r'}]}")
                        .formatted(token, GROUP);
        return Api.post(harness.proxy(1), "/v1/write", body);
    }

    @Test
    void ofTwoOperatorsWithEqualVersionsOneWinsAndAResendGetsTheFirstResult() {
        long version = rulesVersion();
        ManagedProcess leader = harness.leader();
        ManagedProcess follower = otherThan(leader);
        CompletableFuture<JsonNode> one =
                CompletableFuture.supplyAsync(() -> race(leader, version, "One"));
        CompletableFuture<JsonNode> two =
                CompletableFuture.supplyAsync(() -> race(follower, version, "Two"));
        List<JsonNode> answers = new ArrayList<>(List.of(one.join(), two.join()));
        JsonNode winner =
                answers.stream()
                        .filter(a -> Api.outcome(a).equals("done"))
                        .findFirst()
                        .orElseThrow();
        answers.remove(winner);
        JsonNode loser = answers.get(0);
        assertThat(loser.path("kind").asText()).as("%s", loser).isEqualTo("CONFLICT");
        String winningName = winner.equals(one.join()) ? "One" : "Two";
        assertThat(loser.path("message").asText()).contains(winningName);
        assertThat(rulesVersion()).isEqualTo(version + 1);

        JsonNode resent = race(harness.leader(), version, winningName);
        assertThat(resent).isEqualTo(winner);
        String losingName = winningName.equals("One") ? "Two" : "One";
        assertThat(race(harness.leader(), version, losingName)).isEqualTo(loser);
        assertThat(rulesVersion()).isEqualTo(version + 1);
    }

    /** Asks one control process first and the others while it is not the leader. */
    private JsonNode race(ManagedProcess first, long version, String operator) {
        List<ManagedProcess> order = new ArrayList<>(harness.controls());
        order.remove(first);
        order.add(0, first);
        JsonNode[] answer = new JsonNode[1];
        harness.await(
                "a decision for operator " + operator,
                () -> {
                    for (ManagedProcess control : order) {
                        answer[0] =
                                apply(
                                        control.address(),
                                        version,
                                        "race-" + operator,
                                        operator,
                                        text("race-" + operator));
                        if (List.of("done", "not-run").contains(Api.outcome(answer[0]))) {
                            return true;
                        }
                    }
                    return false;
                });
        return answer[0];
    }

    @Test
    void plannedStopOfTheLeaderCutsNoRequest() {
        ManagedProcess former = harness.leader();
        long version = applyNext("leader-stopped");
        awaitOnProxies(version);
        try (CallerLoad load = CallerLoad.start("stopped", harness.proxyAddresses(), CALLERS);
                RulesWatch watch = new RulesWatch(harness.proxyAddresses())) {
            load.awaitProgress(harness, SOME_WRITES);
            former.stop();
            awaitLeaderOtherThan(former);
            long next = applyNext("leader-handed-over");
            awaitOnProxies(next);
            load.awaitProgress(harness, SOME_WRITES);
            load.finish();
            watch.check();
            assertThat(load.uncertain()).as("requests without definite outcome").isEmpty();
            assertThat(load.refused()).as("refused requests").isEmpty();
        }
    }
}
