package org.ragwortmoor.coordination.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.quota.QuotaHost.Decision;
import org.ragwortmoor.coordination.quota.QuotaSimulation.Faults;
import org.ragwortmoor.state.workspace.RateLimit;
import org.ragwortmoor.state.workspace.Workspace;

/**
 * Guards against refusals below the limit, and against a workspace that takes the share of others,
 * with 81 proxies and workspaces of skewed size.
 */
class QuotaLoadTest {
    private static final int PROXIES = 81;
    private static final int WORKSPACES = 84;
    private static final double LARGEST = 261;
    private static final double SKEW = 1.2;
    private static final double USUAL_LOAD = 0.62;
    private static final double PEAK = 7.5;
    private static final long SECOND = 1_000_000_000L;
    private static final long MILLISECOND = 1_000_000;

    /** A quarter of the shortest latency objective, 250 ms. */
    private static final long WAIT = 62 * MILLISECOND;

    private static final long WARM_UP = 30 * SECOND;
    private static final long END = 90 * SECOND;

    private final QuotaSimulation simulation =
            new QuotaSimulation(
                    61, new QuotaSettings(5, 0.1, 20), new Faults(0, 0, 4 * MILLISECOND));

    private static int rate(int workspace) {
        return Math.max(1, (int) Math.round(LARGEST / Math.pow(workspace + 1, SKEW)));
    }

    private static String name(int workspace) {
        return "workspace-" + workspace;
    }

    /** Plays a load; {@code busy} is the number of the workspace that sends more than usual. */
    private void play(int busy) {
        simulation.elect();
        for (int i = 0; i < PROXIES; i++) {
            simulation.addProxy("proxy-" + i);
        }
        List<Workspace> workspaces = new ArrayList<>();
        for (int i = 0; i < WORKSPACES; i++) {
            RateLimit limit = new RateLimit(rate(i), rate(i));
            workspaces.add(new Workspace(name(i), List.of("k" + i), 0, Option.some(limit)));
        }
        simulation.setWorkspaces(workspaces);
        simulation.runUntil(10 * SECOND);
        for (int i = 0; i < WORKSPACES; i++) {
            double usual = rate(i) * USUAL_LOAD;
            double factor = i == busy ? PEAK : 1;
            simulation.addDemand(name(i), t -> t < WARM_UP ? usual : usual * factor, WAIT);
        }
        simulation.runUntil(END);
    }

    private long decisions(int workspace, Decision decision) {
        return simulation.proxies().stream()
                .mapToLong(p -> p.decisions(name(workspace), decision))
                .sum();
    }

    private long refused(int workspace) {
        return decisions(workspace, Decision.EXHAUSTED) + decisions(workspace, Decision.UNANSWERED);
    }

    private long permitted(int workspace) {
        return decisions(workspace, Decision.PERMITTED)
                + decisions(workspace, Decision.PERMITTED_AFTER_WAIT);
    }

    private double refusedShare(IntPredicate chosen) {
        long refused = 0;
        long all = 0;
        for (int i = 0; i < WORKSPACES; i++) {
            if (chosen.test(i)) {
                refused += refused(i);
                all += refused(i) + permitted(i);
            }
        }
        return (double) refused / all;
    }

    private long total(Decision decision) {
        return IntStream.range(0, WORKSPACES).mapToLong(w -> decisions(w, decision)).sum();
    }

    private String cost() {
        double seconds = (double) END / SECOND * PROXIES;
        long reports = simulation.proxies().stream().mapToLong(SimulatedProxy::reports).sum();
        long sent = simulation.proxies().stream().mapToLong(SimulatedProxy::bytesSent).sum();
        long received =
                simulation.proxies().stream().mapToLong(SimulatedProxy::bytesReceived).sum();
        return String.format(
                "permitted at once=%d, after a wait=%d, per proxy: reports=%.2f/s sent=%.0f B/s"
                        + " received=%.0f B/s",
                total(Decision.PERMITTED),
                total(Decision.PERMITTED_AFTER_WAIT),
                reports / seconds,
                sent / seconds,
                received / seconds);
    }

    private static boolean large(int workspace) {
        return rate(workspace) >= 30;
    }

    private static boolean small(int workspace) {
        return rate(workspace) <= 3;
    }

    @Test
    void almostNothingIsRefusedAtTheUsualLoad() {
        play(-1);
        double small = refusedShare(QuotaLoadTest::small);
        double medium = refusedShare(w -> !small(w) && !large(w));
        double large = refusedShare(QuotaLoadTest::large);
        System.out.printf(
                "usual load: refused small=%.4f medium=%.4f large=%.4f %s%n",
                small, medium, large, cost());
        assertThat(small).isLessThan(0.005);
        assertThat(medium).isLessThan(0.005);
        assertThat(large).isLessThan(0.005);
    }

    private void checkBusyWorkspace(int busy) {
        play(busy);
        long served = simulation.checker().count(name(busy), WARM_UP, END);
        double share = (double) served / (rate(busy) * (END - WARM_UP) / (double) SECOND);
        double others = refusedShare(w -> w != busy);
        System.out.printf(
                "rate %d at %.1f times: served %.3f of its rate, others refused %.4f, %s%n",
                rate(busy), PEAK, share, others, cost());
        assertThat(share).isGreaterThan(0.9);
        assertThat(others).isLessThan(0.005);
    }

    @Test
    void aLargeWorkspaceAtItsPeakGetsItsLimitAndAffectsNoOther() {
        checkBusyWorkspace(1);
    }

    @Test
    void aMediumWorkspaceAtItsPeakGetsItsLimitAndAffectsNoOther() {
        checkBusyWorkspace(12);
    }

    @Test
    void aSmallWorkspaceAtItsPeakGetsItsLimitAndAffectsNoOther() {
        checkBusyWorkspace(80);
    }
}
