package org.ragwortmoor.coordination.session;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests answers to callers and retries of statements when servers fail. */
class SessionFaultTest {
    private final Deployment deployment = new Deployment();

    @Test
    void lostAnswerOfAReadIsRetriedOnAnotherServer() {
        deployment.s2.loseAnswers(1);
        Caller caller = deployment.caller("bounded");
        assertThat(caller.ask("READ x", 200)).contains("COMPLETE signed-");
    }

    @Test
    void lostAnswerOfAWriteIsInDoubtAndNeverSentAgain() {
        deployment.s1.loseAnswers(1);
        Caller caller = deployment.caller("own");
        assertThat(caller.ask("WRITE x 1", 1_100)).startsWith("ERROR INDOUBT");
        assertThat(deployment.s1.executed()).hasSize(1);
    }

    @Test
    void lostAnswerOfACommitIsInDoubt() {
        Caller caller = deployment.caller("own");
        caller.ask("BEGIN");
        caller.ask("WRITE x 1");
        deployment.s1.loseAnswers(1);
        assertThat(caller.ask("COMMIT", 1_100)).startsWith("ERROR INDOUBT").endsWith("READY I -");
    }

    @Test
    void crashInsideATransactionAbortsIt() {
        Caller caller = deployment.caller("own");
        caller.ask("BEGIN");
        caller.ask("WRITE x 1");
        deployment.s1.crash();
        assertThat(caller.ask("WRITE x 2")).startsWith("ERROR ABORTED").endsWith("READY E -");
        assertThat(caller.ask("COMMIT")).startsWith("ERROR ABORTED").endsWith("READY I -");
    }

    @Test
    void writeIsRetriedOnABusyServer() {
        deployment.s1.rejectAsBusy(2);
        Caller caller = deployment.caller("own");
        assertThat(caller.ask("WRITE x 1")).contains("signed-s1");
        assertThat(deployment.s1.executed()).hasSize(1);
    }

    @Test
    void readFallsBackToTheLeaderIfReplicasLag() {
        Caller caller = deployment.caller("bounded");
        deployment.s2.setPosition(1, 5);
        deployment.s3.setPosition(1, 5);
        assertThat(caller.ask("READ x")).contains("signed-s1");
    }

    @Test
    void aServerThatFailsReadsGetsFewOfThem() {
        Caller caller = deployment.caller("bounded");
        assertThat(caller.ask("READ x")).contains("signed-s2");
        deployment.s2.setFailsReads(true);
        for (int i = 0; i < 40; i++) {
            assertThat(caller.ask("READ x", 50)).contains("COMPLETE signed-");
        }
        long failed = deployment.s2.executed().size();
        assertThat(failed).isLessThan(8);
        deployment.s2.setFailsReads(false);
        deployment.host.advance(3_000);
        assertThat(caller.ask("READ x")).contains("signed-s2");
    }

    @Test
    void readsAreServedWhileAReplicaGoesDownAndUp() {
        Caller caller = deployment.caller("bounded");
        for (int i = 0; i < 20; i++) {
            if (i % 2 == 0) {
                deployment.s2.crash();
            } else {
                deployment.s2.restart();
            }
            for (int read = 0; read < 5; read++) {
                assertThat(caller.ask("READ x", 60)).contains("COMPLETE signed-");
            }
        }
    }

    @Test
    void aTransactionAtRestGivesItsConnectionBack() {
        deployment.s1.setMaxConnections(8);
        Caller resting = deployment.caller("strong");
        resting.ask("BEGIN");
        resting.ask("WRITE x 1");
        deployment.host.advance(3_100);
        assertThat(resting.ask("COMMIT")).startsWith("ERROR ABORTED");
        assertThat(deployment.s1.position().index()).isEqualTo(10);
        assertThat(deployment.caller("strong").ask("WRITE x 2")).contains("signed-s1");
    }

    @Test
    void deposedLeaderNeverAnswersAPrimaryRead() {
        Caller caller = deployment.caller("strong");
        deployment.s1.setLeader(false);
        deployment.s3.setLeader(true).setPosition(2, 1);
        assertThat(caller.ask("READ x", 800)).contains("signed-s3");
        assertThat(deployment.s1.executed()).isEmpty();
    }

    @Test
    void writesWaitForTheNextPrimary() {
        Caller caller = deployment.caller("own");
        deployment.s1.crash();
        caller.send("WRITE x 1");
        deployment.host.advance(300);
        deployment.s3.setLeader(true).setPosition(2, 1);
        deployment.updateDirectory(Deployment.routes(1), "s3");
        deployment.host.advance(300);
        assertThat(caller.answer()).contains("signed-s3");
    }

    @Test
    void writeWithoutAPrimaryIsRefusedWithARetryHintBeforeItsTimeout() {
        Caller caller = deployment.caller("own");
        deployment.s1.crash();
        assertThat(caller.ask("WRITE x 1", 990))
                .startsWith("ERROR OVERLOAD retry-after-ms=")
                .endsWith("READY I -");
    }

    @Test
    void readsAvoidAnUnresponsiveReplica() {
        deployment.s2.setUnresponsive(true);
        deployment.s1.setWorkMillis(60);
        deployment.s3.setWorkMillis(60);
        Caller warmUp = deployment.caller("bounded");
        warmUp.ask("READ x", 1_500);
        deployment.host.advance(3_000);
        for (int i = 0; i < 20; i++) {
            Caller caller = deployment.caller("bounded");
            assertThat(caller.ask("READ x", 200)).contains("COMPLETE signed-");
            deployment.host.advance(137);
        }
    }

    @Test
    void afterASuspensionNothingThatWasKnownIsFresh() {
        Caller caller = deployment.caller("bounded");
        deployment.s1.setPosition(1, 20);
        deployment.host.suspend(5_000);
        caller.send("READ x");
        deployment.host.advance(60);
        assertThat(caller.answer()).contains("signed-s1");
    }

    @Test
    void silenceOfThePrimaryIsReported() {
        deployment.s1.setUnresponsive(true);
        deployment.host.advance(1_200);
        PrimaryObservation seen = deployment.engine.observations(1).get(0);
        assertThat(seen.server()).isEqualTo("s1");
        assertThat(seen.silentNanos()).isGreaterThan(500_000_000L);
    }

    @Test
    void aHealthyPrimaryIsNeverReportedSilent() {
        for (int i = 0; i < 100; i++) {
            deployment.host.advance(37);
            assertThat(deployment.engine.observations(1).get(0).silentNanos())
                    .isLessThan(100_000_000L);
        }
    }

    @Test
    void proxyIsolatedFromDirectoryAndLeadersClosesIdleSessions() {
        Caller idle = deployment.caller("own");
        deployment.s1.setUnresponsive(true);
        deployment.host.advance(1_000);
        deployment.engine.setDirectoryReachable(true);
        assertThat(deployment.engine.ready()).isTrue();
        deployment.engine.setDirectoryReachable(false);
        assertThat(deployment.engine.ready()).isFalse();
        assertThat(idle.closed()).isTrue();
        deployment.s1.setUnresponsive(false);
        deployment.host.advance(1_500);
        deployment.engine.setDirectoryReachable(false);
        assertThat(deployment.engine.ready()).isTrue();
    }

    @Test
    void connectionsBeyondTheShareAreOpenedWhileTheServerAcceptsThemAndClosedLater() {
        deployment.s1.setMaxConnections(6);
        Caller[] callers = new Caller[9];
        for (int i = 0; i < callers.length; i++) {
            callers[i] = deployment.caller("own");
            callers[i].ask("BEGIN", 1);
            callers[i].ask("WRITE x 1", 20);
        }
        deployment.host.advance(100);
        // The share of each proxy is four connections; the server accepts six.
        assertThat(deployment.s1.openSessions()).isBetween(5, 6);
        for (Caller caller : callers) {
            caller.ask("ROLLBACK", 1);
        }
        deployment.host.advance(6_000);
        assertThat(deployment.s1.openSessions()).isLessThanOrEqualTo(4);
        assertThat(deployment.engine.observations(1).get(0).refused()).isFalse();
    }

    @Test
    void noMoreConnectionsAreOpenedAtOnceThanTheServerHasSlots() {
        for (int i = 0; i < 20; i++) {
            deployment.caller("own").send("WRITE x 1");
        }
        int before = deployment.s1.connects();
        deployment.host.advance(1);
        assertThat(deployment.s1.connects() - before).isBetween(1, 5);
        deployment.host.advance(200);
        assertThat(deployment.s1.executed()).hasSize(20);
    }

    @Test
    void idleConnectionsLeaveRoomForRestartedProxies() {
        Caller[] callers = new Caller[4];
        for (int i = 0; i < callers.length; i++) {
            callers[i] = deployment.caller("own");
            callers[i].ask("BEGIN", 1);
            callers[i].ask("WRITE x 1", 20);
        }
        deployment.host.advance(100);
        assertThat(deployment.s1.openSessions()).isGreaterThanOrEqualTo(4);
        for (Caller caller : callers) {
            caller.ask("ROLLBACK", 1);
        }
        deployment.host.advance(6_000);
        // Seven proxies share 30 connections; twice the retained number must fit.
        assertThat(2 * 7 * deployment.s1.openSessions()).isLessThanOrEqualTo(30);
    }

    @Test
    void longOutageRefusesStatementsImmediatelyWithARetryHint() {
        deployment.s1.setUnresponsive(true);
        Caller caller = deployment.caller("own");
        deployment.host.advance(3_000);
        assertThat(caller.ask("WRITE x 1", 100)).startsWith("ERROR OVERLOAD retry-after-ms=");
        assertThat(caller.ask("BEGIN")).contains("READY T");
        assertThat(caller.ask("WRITE x 1", 100)).startsWith("ERROR OVERLOAD retry-after-ms=");
    }

    /** A write that is kept must not be called aborted. */
    @Test
    void aWriteThatRanOutsideOfItsTransactionIsInDoubt() {
        Caller caller = deployment.caller("own");
        caller.ask("BEGIN");
        caller.ask("WRITE x 1");
        deployment.s1.endTransactions();
        assertThat(caller.ask("WRITE x 2")).startsWith("ERROR INDOUBT").contains("READY E");
        assertThat(deployment.s1.position().index()).isEqualTo(11);
        assertThat(caller.ask("ROLLBACK")).contains("READY I");
    }

    @Test
    void aReadThatRanOutsideOfItsTransactionAbortsIt() {
        Caller caller = deployment.caller("own");
        caller.ask("BEGIN");
        caller.ask("WRITE x 1");
        deployment.s1.endTransactions();
        assertThat(caller.ask("READ x")).startsWith("ERROR ABORTED").contains("READY E");
        assertThat(deployment.s1.position().index()).isEqualTo(10);
    }
}
