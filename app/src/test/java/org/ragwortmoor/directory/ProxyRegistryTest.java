package org.ragwortmoor.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.directory.DirectoryState;

/** The number of proxies rises at once and falls only when that has lasted. */
class ProxyRegistryTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ProxyRegistry registry = new ProxyRegistry();
    private long now = SECOND;

    private void reports(int proxies) {
        for (int i = 0; i < proxies; i++) {
            registry.reported(
                    NodeReportMessage.newBuilder().setProxy("p" + i).build(), body -> {}, now);
        }
    }

    @Test
    void proxiesAreCountedOnceTheyHadTimeToReport() {
        registry.elected(DirectoryState.EMPTY, List.of(), now);
        reports(7);
        assertThat(registry.changedCount(0, now)).isEmpty();
        now += 4 * SECOND;
        reports(7);
        assertThat(registry.changedCount(0, now)).contains(7);
        assertThat(registry.changedCount(7, now)).isEmpty();
    }

    @Test
    void aNewLeaderThatHearsFromOneProxyKeepsTheKnownNumber() {
        registry.elected(DirectoryState.EMPTY, List.of(), now);
        for (int i = 0; i < 25; i++) {
            reports(1);
            assertThat(registry.changedCount(7, now)).isEmpty();
            now += SECOND;
        }
    }

    @Test
    void aProxyThatAskedJustBeforeTheElectionIsToldOfIt() {
        List<PeerBody> sent = new ArrayList<>();
        NodeReportMessage report = NodeReportMessage.newBuilder().setProxy("p").build();
        registry.reportedEarly(report, body -> {}, now - 2 * SECOND);
        registry.elected(DirectoryState.EMPTY, List.of(), now);
        registry.reportedEarly(report, sent::add, now + SECOND / 2);
        assertThat(sent).isEmpty();
        registry.elected(DirectoryState.EMPTY, List.of(), now + SECOND);
        assertThat(sent).hasSize(1);
    }

    @Test
    void proxiesThatAreGoneForLongNoLongerCount() {
        registry.elected(DirectoryState.EMPTY, List.of(), now);
        for (int i = 0; i < 31; i++) {
            reports(5);
            now += SECOND;
        }
        assertThat(registry.changedCount(7, now)).contains(5);
    }
}
