package org.ragwortmoor.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.protocol.wire.NodeReportMessage;

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
        registry.elected(now);
        reports(7);
        assertThat(registry.changedCount(0, now)).isEmpty();
        now += 4 * SECOND;
        reports(7);
        assertThat(registry.changedCount(0, now)).contains(7);
        assertThat(registry.changedCount(7, now)).isEmpty();
    }

    @Test
    void aNewLeaderThatHearsFromOneProxyKeepsTheKnownNumber() {
        registry.elected(now);
        for (int i = 0; i < 25; i++) {
            reports(1);
            assertThat(registry.changedCount(7, now)).isEmpty();
            now += SECOND;
        }
    }

    @Test
    void proxiesThatAreGoneForLongNoLongerCount() {
        registry.elected(now);
        for (int i = 0; i < 31; i++) {
            reports(5);
            now += SECOND;
        }
        assertThat(registry.changedCount(7, now)).contains(5);
    }
}
