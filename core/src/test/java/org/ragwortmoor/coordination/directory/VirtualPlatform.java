package org.ragwortmoor.coordination.directory;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** The promotion call of the platform, which may be down, late, or lose calls and answers. */
final class VirtualPlatform {
    private static final int PROMOTE_MILLIS = 600;
    private static final int CALL_TIMEOUT_MILLIS = 500;

    /** Longest time after which a call without an answer is carried out. */
    private static final int MAX_LATE_MILLIS = 10_000;

    private final FailoverSimulation simulation;
    private final VirtualServers servers;
    private final SplittableRandom random;
    private final Set<String> rejected = new HashSet<>();
    private boolean down;
    private double lateShare;
    private double lostShare;
    private long highestToken;
    private int pendingPromotions;

    VirtualPlatform(
            FailoverSimulation simulation, VirtualServers servers, SplittableRandom random) {
        this.simulation = simulation;
        this.servers = servers;
        this.random = random;
    }

    /**
     * Sets how calls are handled.
     *
     * @param newDown whether calls are neither carried out nor answered
     * @param newLateShare share of the calls that are not answered and carried out later
     * @param newLostShare share of the calls that are lost, and of the answers
     */
    void set(boolean newDown, double newLateShare, double newLostShare) {
        down = newDown;
        lateShare = newLateShare;
        lostShare = newLostShare;
    }

    /** Rejects the promotion of a server. */
    void reject(String server) {
        rejected.add(server);
    }

    /** Returns whether a promotion may still be carried out. */
    boolean promotionPending() {
        return pendingPromotions > 0;
    }

    /** Handles a call. */
    void call(FailoverAction.CallPromotion call, Consumer<CallOutcome> answer) {
        boolean late = !down && random.nextDouble() < lateShare;
        boolean lost = down || random.nextDouble() < lostShare;
        if (late) {
            pendingPromotions++;
            simulation.after(
                    random.nextInt(1_000, MAX_LATE_MILLIS),
                    () -> {
                        pendingPromotions--;
                        carryOut(call, "late");
                    });
        }
        if (late || lost) {
            simulation.after(CALL_TIMEOUT_MILLIS, () -> answer.accept(CallOutcome.UNKNOWN));
            return;
        }
        CallOutcome outcome = carryOut(call, "at once");
        boolean answerLost = random.nextDouble() < lostShare;
        answer.accept(answerLost ? CallOutcome.UNKNOWN : outcome);
    }

    private CallOutcome carryOut(FailoverAction.CallPromotion call, String when) {
        VirtualServers.Server next = servers.byId(call.server());
        if (call.token() < highestToken) {
            return CallOutcome.REJECTED;
        }
        highestToken = call.token();
        if (next == null || !next.up || rejected.contains(call.server())) {
            return CallOutcome.REJECTED;
        }
        pendingPromotions++;
        simulation.after(
                PROMOTE_MILLIS,
                () -> {
                    pendingPromotions--;
                    if (servers.byId(call.server()) == next) {
                        simulation.trace("promote " + call.server() + ", called " + when);
                        servers.promote(next, "at " + simulation.nowMillis());
                    }
                });
        return CallOutcome.ACCEPTED;
    }
}
