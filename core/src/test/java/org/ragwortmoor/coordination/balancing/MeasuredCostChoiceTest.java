package org.ragwortmoor.coordination.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests single decisions; server 0 is local, the others are in other failure domains. */
class MeasuredCostChoiceTest {
    private static final long MILLI = ReadSimulation.MILLI;
    private static final int READS = 1_000;

    private static final class FixedServer implements ServerLoad {
        private final AnswerFigures figures = new AnswerFigures(0);

        @Override
        public int slots() {
            return 4;
        }

        @Override
        public int inUse() {
            return 0;
        }

        @Override
        public AnswerFigures figures() {
            return figures;
        }
    }

    private final FixedServer[] servers = {new FixedServer(), new FixedServer(), new FixedServer()};
    private final Candidates<FixedServer> candidates = new Candidates<>();
    private final MeasuredCostChoice choice = new MeasuredCostChoice(new SplittableRandom(7));
    private long now = 5_000 * MILLI;

    private void answer(int server, long millis) {
        servers[server].figures.recordAnswer(millis * MILLI, now);
    }

    /** Returns how many of the reads, one every 10 ms, server 0 gets; answers take the time. */
    private int localReads(int count, long localMillis) {
        int local = 0;
        for (int i = 0; i < count; i++) {
            now += 10 * MILLI;
            candidates.clear();
            for (int server = 0; server < servers.length; server++) {
                candidates.add(servers[server], server == 0, false, true);
            }
            int selected = choice.select(candidates, now);
            local += selected == 0 ? 1 : 0;
            answer(selected, selected == 0 ? localMillis : 19);
        }
        return local;
    }

    /** Guards against traffic between domains in calm. */
    @Test
    void aHealthyLocalServerGetsAllReads() {
        assertThat(localReads(READS, 10)).isEqualTo(READS);
    }

    /** Guards against a proxy without figures that starts with servers of other domains. */
    @Test
    void theLocalServerIsTakenWhileNothingIsKnown() {
        candidates.add(servers[1], false, false, true);
        candidates.add(servers[0], true, false, true);
        assertThat(candidates.server(choice.select(candidates, now))).isSameAs(servers[0]);
    }

    /** Guards against a slow server that keeps its reads, or gets many in order to be tried. */
    @Test
    void aSlowServerIsTriedOnlyNowAndThen() {
        localReads(READS, 10);
        assertThat(localReads(READS, 300)).isBetween(1, READS / 20);
    }

    /** Guards against a server that is avoided for ever. */
    @Test
    void aRecoveredServerGetsItsReadsBack() {
        localReads(READS, 10);
        localReads(READS, 300);
        localReads(READS, 10);
        assertThat(localReads(READS, 10)).isEqualTo(READS);
    }

    /** Guards against a server that fails quickly and looks fast. */
    @Test
    void aFailingServerIsAvoidedAndTriedAgain() {
        localReads(READS, 10);
        for (int i = 0; i < 10; i++) {
            servers[0].figures.recordFailure(now);
        }
        assertThat(localReads(10, 10)).isZero();
        localReads(2 * READS, 10);
        assertThat(localReads(READS, 10)).isEqualTo(READS);
    }

    /** Guards against a server that gets all reads at once when it returns. */
    @Test
    void theShareOfAReturnedServerGrows() {
        localReads(READS, 10);
        servers[0].figures.recordUnreachable();
        servers[0].figures.recordOpened(now);
        int first = localReads(30, 10);
        localReads(40, 10);
        assertThat(first).isLessThan(15);
        assertThat(localReads(30, 10)).isGreaterThan(15);
    }

    /** Guards against a choice outside of what consistency and connections permit. */
    @Test
    void onlyCandidatesAreChosen() {
        localReads(READS, 10);
        candidates.clear();
        candidates.add(servers[2], false, false, false);
        assertThat(choice.select(candidates, now)).isZero();
        candidates.add(servers[1], false, false, false);
        assertThat(choice.select(candidates, now)).isBetween(0, 1);
    }
}
