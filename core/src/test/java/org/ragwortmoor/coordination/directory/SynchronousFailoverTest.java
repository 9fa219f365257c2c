package org.ragwortmoor.coordination.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Single faults and pairs that a group with synchronous replicas has met, in virtual time. */
class SynchronousFailoverTest {
    private static final long RECOVERY_MILLIS = 12_000;

    private FailoverSimulation simulation = new FailoverSimulation(1, 3, 1);

    private VirtualServers.Server server(int number) {
        return simulation.servers().all().get(number - 1);
    }

    private void drain(int number) {
        server(number).draining = true;
        simulation.announce(server(number));
    }

    private void crash(int number) {
        simulation.servers().crash(server(number));
    }

    private void restart(int number, boolean newId) {
        simulation.servers().restart(server(number), newId);
        simulation.announce(server(number));
    }

    private void expectWritesWithin(long millis) {
        simulation.run(millis);
        int before = simulation.servers().acknowledgements();
        simulation.run(500);
        assertThat(simulation.servers().acknowledgements())
                .as(simulation.describe())
                .isGreaterThan(before);
        expectNothingLost();
    }

    private void expectNothingLost() {
        assertThat(simulation.servers().violations()).as(simulation.describe()).isEmpty();
    }

    /**
     * review/2: a replica that leaves was neither asked nor promoted, and its commits were lost.
     */
    @Test
    void aLeavingReplicaThatAloneHasTheNewestCommitsIsPromoted() {
        simulation.run(3_000);
        drain(3);
        server(2).deaf = true;
        simulation.run(2_000);
        crash(1);
        simulation.run(3_000);
        expectNothingLost();
        assertThat(server(3).primary).isTrue();
        // The one that stays receives what it lacks, and follows.
        server(2).deaf = false;
        expectWritesWithin(6_000);
        assertThat(server(2).primary).isTrue();
    }

    @Test
    void aSurveyThatCannotSucceedLeavesThePrimaryAlone() {
        simulation.run(3_000);
        crash(3);
        server(1).cutFromDirectory = true;
        server(1).cutFromProxies = true;
        simulation.run(20_000);
        assertThat(server(1).primary).isTrue();
        assertThat(server(2).status().suspended()).isFalse();
        assertThat(simulation.trace()).filteredOn(l -> l.contains("blocked")).hasSizeBetween(3, 6);
        server(1).cutFromProxies = false;
        expectWritesWithin(1_000);
    }

    @Test
    void aPrimaryThatLeavesGoesOnUntilAReplicaReceivesItsCommits() {
        simulation.run(3_000);
        server(2).deaf = true;
        crash(3);
        simulation.run(500);
        drain(1);
        simulation.run(4_000);
        assertThat(server(1).primary).isTrue();
        server(2).deaf = false;
        simulation.run(3_000);
        assertThat(server(2).primary).as(simulation.describe()).isTrue();
        expectNothingLost();
    }
}
