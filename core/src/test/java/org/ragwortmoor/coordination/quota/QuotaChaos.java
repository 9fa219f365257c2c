package org.ragwortmoor.coordination.quota;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.ragwortmoor.state.workspace.RateLimit;
import org.ragwortmoor.state.workspace.Workspace;

/** Random events: proxies and leaders fail and return, links are cut, a limit changes. */
final class QuotaChaos {
    static final String FIXED = "fixed";
    static final String CHANGING = "changing";

    private final QuotaSimulation simulation;
    private final Random random;
    private final RateLimit fixedLimit;
    private final List<RateLimit> limits = new ArrayList<>();
    private final boolean onlyLeaders;
    private int nextName;

    /**
     * Creates proxies without faults.
     *
     * @param onlyLeaders whether mostly leaders fail, so that new leaders hear from all proxies
     */
    QuotaChaos(
            QuotaSimulation simulation,
            RateLimit fixedLimit,
            RateLimit firstLimit,
            boolean onlyLeaders) {
        this.onlyLeaders = onlyLeaders;
        this.simulation = simulation;
        this.random = simulation.random();
        this.fixedLimit = fixedLimit;
        changeLimit(firstLimit);
    }

    /** Returns all limits that the changing workspace has had. */
    List<RateLimit> limits() {
        return limits;
    }

    void changeLimit(RateLimit limit) {
        limits.add(limit);
        simulation.setWorkspaces(
                List.of(
                        new Workspace(FIXED, List.of("a"), 0, Option.some(fixedLimit)),
                        new Workspace(CHANGING, List.of("b"), 0, Option.some(limit))));
    }

    SimulatedProxy addProxy() {
        return simulation.addProxy("proxy-" + nextName++);
    }

    /** Causes random events until a time. */
    void run(long until, boolean limitChanges) {
        while (simulation.time() < until) {
            simulation.runUntil(
                    Math.min(until, simulation.time() + QuotaSimulation.seconds(gap())));
            event(limitChanges);
        }
    }

    private double gap() {
        if (onlyLeaders) {
            return random.nextDouble() * 14;
        }
        // Some events follow each other closely.
        return random.nextInt(3) == 0 ? random.nextDouble() * 0.3 : random.nextDouble() * 6;
    }

    private void event(boolean limitChanges) {
        List<SimulatedProxy> running = simulation.proxies();
        SimulatedProxy proxy = running.get(random.nextInt(running.size()));
        boolean election = onlyLeaders && random.nextInt(5) > 0;
        switch (election ? 8 + random.nextInt(2) : random.nextInt(12)) {
            case 0, 1 -> restart(proxy);
            case 2 -> addProxy();
            case 3 -> replace(proxy);
            case 4 -> proxy.pause(QuotaSimulation.seconds(random.nextDouble() * 12), false);
            case 5 -> proxy.pause(QuotaSimulation.seconds(random.nextDouble() * 12), true);
            case 6, 7 -> partition(proxy);
            case 8 -> simulation.elect();
            case 9 -> {
                simulation.elect();
                simulation.stopDeposed();
            }
            case 10 -> {
                SimulatedLeader leader = simulation.leader();
                leader.setUnreachable(true);
                simulation.after(
                        QuotaSimulation.seconds(random.nextDouble() * 4),
                        () -> leader.setUnreachable(false));
            }
            default -> {
                if (random.nextInt(6) == 0) {
                    losePower();
                } else if (limitChanges) {
                    changeLimit(new RateLimit(random.nextInt(60), random.nextInt(40)));
                }
            }
        }
    }

    private void restart(SimulatedProxy proxy) {
        proxy.kill();
        simulation.after(
                QuotaSimulation.seconds(random.nextDouble() * 3),
                () -> simulation.addProxy(proxy.name()));
        if (simulation.proxies().isEmpty()) {
            addProxy();
        }
    }

    private void replace(SimulatedProxy proxy) {
        addProxy();
        proxy.kill();
    }

    private void partition(SimulatedProxy proxy) {
        proxy.setPartitioned(true);
        simulation.after(
                QuotaSimulation.seconds(random.nextDouble() * 15),
                () -> proxy.setPartitioned(false));
    }

    private void losePower() {
        List<SimulatedProxy> lost = simulation.proxies();
        lost.forEach(SimulatedProxy::kill);
        simulation.elect();
        simulation.stopDeposed();
        lost.forEach(proxy -> simulation.addProxy(proxy.name()));
    }
}
