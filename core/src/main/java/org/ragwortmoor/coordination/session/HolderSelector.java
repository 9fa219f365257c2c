package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.coordination.placement.HolderRanking;

/**
 * Selects the proxy that executes the next statement for a group: this proxy, or one that holds
 * connections.
 *
 * <p>A proxy that has declined is avoided for a while: it does not reach the leader, or it stops.
 * If every proxy has declined, the first one is used and keeps the statement until its deadline. A
 * proxy that holds no connections opens its own only if it reaches no other proxy.
 */
final class HolderSelector {
    private final SessionHost host;
    private final String self;
    private final ServerGroup group;
    private final Map<String, Long> declinedUntil = new HashMap<>();
    private final Choice local;
    private HolderRanking ranking;
    private io.vavr.collection.Map<String, String> addresses =
            io.vavr.collection.LinkedHashMap.empty();

    /**
     * A selected proxy.
     *
     * @param proxy name of the proxy
     * @param link link to it; none if it is this proxy
     * @param mayDecline whether another proxy could be selected instead
     */
    record Choice(String proxy, Option<HolderLink> link, boolean mayDecline) {}

    HolderSelector(SessionHost host, String self, ServerGroup group) {
        this.host = host;
        this.self = self;
        this.group = group;
        this.local = new Choice(self, Option.none(), false);
        this.ranking = HolderRanking.unknown(self);
    }

    /** Sets the ranking and the addresses of the other proxies, and starts to connect to them. */
    void update(HolderRanking newRanking, io.vavr.collection.Map<String, String> newAddresses) {
        ranking = newRanking;
        addresses = newAddresses;
        declinedUntil.keySet().retainAll(newRanking.candidates());
        if (!holdsConnections()) {
            newRanking.candidates().forEach(this::link);
        }
    }

    /** Returns whether this proxy holds connections to the group. */
    boolean holdsConnections() {
        return ranking.holds(self);
    }

    /** Returns whether this proxy has a link to another one that can execute statements. */
    boolean reachesHolder() {
        return ranking.candidates().stream().anyMatch(c -> link(c).exists(HolderLink::usable));
    }

    /**
     * Records that a proxy has declined a statement. It is avoided for a while, unless only its
     * connections are used up, which may change with the next statement that ends.
     */
    void recordDeclined(String proxy, ForwardedResult.Declined declined, HolderAttempts attempts) {
        if (declined.connectionsUsedUp()) {
            attempts.recordUsedUp(proxy);
            return;
        }
        attempts.recordDeclined(proxy);
        declinedUntil.put(proxy, host.now() + SessionSettings.DECLINED_AVOIDANCE_NANOS);
    }

    /**
     * Selects a proxy. The connections of a workspace gather at its first holder; the next holder
     * takes what the first one has no connections for.
     *
     * @param attempts proxies that have declined the statement
     */
    Choice select(HolderAttempts attempts) {
        String workspace = attempts.workspace();
        if (workspace.isEmpty()
                && attempts.none()
                && holdsConnections()
                && !group.leaderUnreachable()) {
            return local;
        }
        List<String> reachable = new ArrayList<>();
        for (String candidate : ranking.candidates(group.name(), workspace)) {
            if (candidate.equals(self)
                    ? holdsConnections()
                    : link(candidate).exists(HolderLink::usable)) {
                reachable.add(candidate);
            }
        }
        List<String> willing =
                reachable.stream().filter(c -> !attempts.declined(c) && !avoided(c)).toList();
        if (willing.isEmpty()) {
            return choice(reachable.isEmpty() ? self : reachable.get(0), false);
        }
        return workspace.isEmpty()
                ? choice(willing.get(0), willing.size() > 1)
                : choiceWithConnections(willing, attempts);
    }

    /**
     * Chooses the first holder that has connections left. If none has, the first one keeps the
     * statement: the connections of a proxy that is no holder would exceed the servers' limit.
     */
    private Choice choiceWithConnections(List<String> willing, HolderAttempts attempts) {
        List<String> holders = willing.stream().filter(ranking::holds).toList();
        if (holders.isEmpty()) {
            return choice(willing.get(0), willing.size() > 1);
        }
        for (String holder : holders) {
            if (!usedUp(holder, attempts)) {
                return choice(holder, willing.size() > 1);
            }
        }
        return choice(holders.get(0), false);
    }

    private boolean usedUp(String holder, HolderAttempts attempts) {
        return holder.equals(self)
                ? group.connectionsUsedUp(attempts.workspace(), attempts.target())
                : attempts.usedUp(holder);
    }

    private Choice choice(String proxy, boolean mayDecline) {
        return proxy.equals(self) ? local : new Choice(proxy, link(proxy), mayDecline);
    }

    private boolean avoided(String proxy) {
        if (proxy.equals(self)) {
            return group.leaderUnreachable();
        }
        Long until = declinedUntil.get(proxy);
        return until != null && host.now() - until < 0;
    }

    private Option<HolderLink> link(String proxy) {
        return proxy.equals(self)
                ? Option.none()
                : addresses.get(proxy).map(address -> host.link(proxy, address));
    }
}
