package org.ragwortmoor.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests that time that passed during a suspension does not count as time as leader. */
class SuspensionDetectorTest {
    private static final long MILLI = 1_000_000;

    private final SuspensionDetector detector = new SuspensionDetector(0, 1_000);

    private boolean runningSince(long sinceMillis, long nowMillis, long wallMillis) {
        return detector.runningSince(sinceMillis * MILLI, nowMillis * MILLI, wallMillis);
    }

    @Test
    void aProcessThatRunsIsNotSuspended() {
        assertThat(runningSince(0, 500, 1_500)).isTrue();
        assertThat(runningSince(400, 900, 1_905)).isTrue();
    }

    @Test
    void contactBeforeASuspensionProvesNothingAfterIt() {
        assertThat(runningSince(100, 200, 1_200)).isTrue();
        // The VM was suspended for 2 s; the monotonic clock shows 10 ms.
        assertThat(runningSince(200, 210, 3_210)).isFalse();
        assertThat(runningSince(200, 290, 3_290)).isFalse();
        assertThat(runningSince(250, 290, 3_290)).isTrue();
    }

    @Test
    void aStepOfTheWallClockCountsAsASuspension() {
        assertThat(runningSince(100, 200, 200)).isFalse();
        assertThat(runningSince(210, 300, 300)).isTrue();
    }
}
