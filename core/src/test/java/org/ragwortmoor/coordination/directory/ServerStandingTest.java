package org.ragwortmoor.coordination.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The table of what a failover may do with a server: a row per standing, a column per question. */
class ServerStandingTest {
    @ParameterizedTest
    @CsvSource({
        "READY_REPLICA, true, true, true, FIRST",
        "REPLACED_PRIMARY, true, false, true, SECOND",
        "DRAINING_REPLICA, true, true, true, THIRD",
        "DRAINING_PRIMARY, true, false, true, LAST",
        "REJECTED_REPLICA, true, true, true, NEVER",
        "DEPARTED, true, false, false, NEVER",
        "ENDED, false, false, false, NEVER"
    })
    void eachQuestionHasItsOwnAnswer(
            ServerStanding standing,
            boolean holdsCommits,
            boolean surveyed,
            boolean suspended,
            ServerStanding.Choice choice) {
        assertThat(standing.holdsCommits()).isEqualTo(holdsCommits);
        assertThat(standing.surveyed()).isEqualTo(surveyed);
        assertThat(standing.suspended()).isEqualTo(suspended);
        assertThat(standing.choice()).isEqualTo(choice);
    }

    @Test
    void theTableHasARowForEachStanding() {
        assertThat(ServerStanding.values()).hasSize(7);
    }
}
