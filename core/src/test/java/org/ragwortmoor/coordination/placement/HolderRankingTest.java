package org.ragwortmoor.coordination.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests in which order a proxy uses the proxies that hold connections. */
class HolderRankingTest {
    private static final List<String> MEMBERS =
            IntStream.range(0, 19).mapToObj(i -> "edge-" + i).toList();

    @Test
    void allProxiesAgreeOnTheHolders() {
        Set<Set<String>> holders = new HashSet<>();
        for (String self : MEMBERS) {
            holders.add(HolderRanking.of("g", self, MEMBERS, 2).holders());
        }
        assertThat(holders).hasSize(1);
        assertThat(holders.iterator().next()).hasSize(2);
    }

    @Test
    void aHolderUsesItselfFirst() {
        for (String self : MEMBERS) {
            HolderRanking ranking = HolderRanking.of("g", self, MEMBERS, 2);
            if (ranking.holds(self)) {
                assertThat(ranking.candidates().get(0)).isEqualTo(self);
            } else {
                assertThat(ranking.candidates()).endsWith(self);
                assertThat(ranking.holders()).contains(ranking.candidates().get(0));
            }
        }
    }

    @Test
    void theOtherProxiesAreSpreadOverTheHolders() {
        Set<String> first = new HashSet<>();
        for (String self : MEMBERS) {
            first.add(HolderRanking.of("g", self, MEMBERS, 3).candidates().get(0));
        }
        assertThat(first).hasSize(3);
    }

    @Test
    void aProxyThatIsNotListedYetUsesTheOthers() {
        HolderRanking ranking = HolderRanking.of("g", "edge-new", MEMBERS, 1);
        assertThat(ranking.candidates()).hasSizeGreaterThan(1).contains("edge-new");
    }

    /** Guards against connections of a workspace at several holders. */
    @Test
    void allProxiesStartWithTheSameHolderForAWorkspace() {
        Set<String> first = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            String workspace = "workspace-" + i;
            Set<List<String>> holders = new HashSet<>();
            for (String self : MEMBERS) {
                List<String> candidates =
                        HolderRanking.of("g", self, MEMBERS, 3).candidates("g", workspace);
                assertThat(candidates).doesNotHaveDuplicates().contains(self);
                holders.add(candidates.subList(0, 3));
            }
            assertThat(holders).hasSize(1);
            first.add(holders.iterator().next().get(0));
        }
        assertThat(first).as("every holder is used").hasSize(3);
    }

    @Test
    void theLossOfAHolderMovesOnlyItsWorkspaces() {
        HolderRanking before = HolderRanking.of("g", "edge-1", MEMBERS, 3);
        String lost = before.candidates("g", "workspace-0").get(0);
        List<String> left = MEMBERS.stream().filter(m -> !m.equals(lost)).toList();
        String self = left.get(0);
        HolderRanking after = HolderRanking.of("g", self, left, 3);
        for (int i = 0; i < 40; i++) {
            String holder = before.candidates("g", "workspace-" + i).get(0);
            String next = after.candidates("g", "workspace-" + i).get(0);
            if (!holder.equals(lost) && before.holds(next)) {
                assertThat(next).isEqualTo(holder);
            }
        }
    }

    /** Guards against another order in deployments without workspaces, and in small fleets. */
    @Test
    void theOrderIsTheSameWithoutAWorkspaceAndInASmallFleet() {
        HolderRanking ranking = HolderRanking.of("g", "edge-1", MEMBERS, 3);
        assertThat(ranking.candidates("g", "")).isEqualTo(ranking.candidates());
        HolderRanking direct = HolderRanking.direct("g", "edge-1", MEMBERS);
        assertThat(direct.candidates("g", "workspace-1")).isEqualTo(direct.candidates());
    }

    @Test
    void noProxyHoldsConnectionsWhileTheOthersAreUnknown() {
        assertThat(HolderRanking.unknown("edge-1").holds("edge-1")).isFalse();
        assertThat(HolderRanking.unknown("edge-1").candidates()).containsExactly("edge-1");
    }

    @Test
    void aDirectProxyHasSubstitutes() {
        HolderRanking ranking = HolderRanking.direct("g", "edge-3", MEMBERS);
        assertThat(ranking.holds("edge-3")).isTrue();
        assertThat(ranking.candidates()).hasSize(3).startsWith("edge-3").doesNotHaveDuplicates();
    }
}
