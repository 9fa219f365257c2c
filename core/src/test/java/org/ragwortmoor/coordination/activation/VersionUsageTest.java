package org.ragwortmoor.coordination.activation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against reporting a version in force while a request of an older one can still run. */
class VersionUsageTest {
    @Test
    void reportsTheActiveVersionWithoutRequests() {
        assertThat(new VersionUsage().applied(4)).isEqualTo(4);
    }

    @Test
    void anOlderRequestHoldsTheReportBackUntilItEnds() {
        VersionUsage usage = new VersionUsage();
        usage.enter(3);
        usage.enter(3);
        usage.enter(4);
        assertThat(usage.applied(5)).isEqualTo(3);
        usage.exit(3);
        assertThat(usage.applied(5)).isEqualTo(3);
        usage.exit(3);
        assertThat(usage.applied(5)).isEqualTo(4);
        usage.exit(4);
        assertThat(usage.applied(5)).isEqualTo(5);
    }

    @Test
    void requestsOfNewerVersionsDoNotRaiseTheReport() {
        VersionUsage usage = new VersionUsage();
        usage.enter(7);
        assertThat(usage.applied(6)).isEqualTo(6);
    }
}
