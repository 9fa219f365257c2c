package org.ragwortmoor.daemon;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.ragwortmoor.coordination.activation.AdmittedRequest;
import org.ragwortmoor.coordination.activation.AdmittedRequests;
import org.ragwortmoor.coordination.control.ControlUpdate;
import org.ragwortmoor.coordination.control.EndpointKey;
import org.ragwortmoor.coordination.engine.CallerAnswer;
import org.ragwortmoor.coordination.engine.EngineDump;
import org.ragwortmoor.coordination.engine.EngineEvent;
import org.ragwortmoor.coordination.engine.EngineSettings;
import org.ragwortmoor.coordination.engine.ErrorKind;
import org.ragwortmoor.coordination.engine.GroupEngine;
import org.ragwortmoor.http.CallerBodies.ErrorBody;
import org.ragwortmoor.state.GroupView;

/**
 * The groups that a proxy serves, each with its host. Safe for concurrent use; its lock is the
 * first in the lock order.
 */
final class GroupDirectory implements AutoCloseable {
    private final Map<String, GroupHost> hosts = new ConcurrentSkipListMap<>();
    private final EngineSettings settings;
    private final String proxy;
    private final EndpointPort port;
    private final Consumer<CallerAnswer> replies;
    private final ScheduledExecutorService timer;
    private final LongSupplier clock;
    private final RulesReview rules;

    GroupDirectory(
            EngineSettings settings,
            String proxy,
            EndpointPort port,
            Consumer<CallerAnswer> replies,
            ScheduledExecutorService timer,
            LongSupplier clock,
            RulesReview rules) {
        this.rules = rules;
        this.settings = settings;
        this.proxy = proxy;
        this.port = port;
        this.replies = replies;
        this.timer = timer;
        this.clock = clock;
    }

    /** Returns the host of a group. */
    Option<GroupHost> host(String group) {
        return Option.of(group).flatMap(g -> Option.of(hosts.get(g)));
    }

    /** Returns all hosts in the order of their groups' names. */
    Collection<GroupHost> hosts() {
        return hosts.values();
    }

    /**
     * Takes an update of the control leader.
     *
     * @param shares all shares after the update, which itself may have only the changed ones
     */
    void accept(ControlUpdate update, Map<EndpointKey, ControlUpdate.Share> shares) {
        for (GroupView view : update.groups()) {
            hosts.computeIfAbsent(view.group(), this::newHost)
                    .submit(new EngineEvent.GroupChanged(view));
        }
        long deadline = update.reportSentAt() + update.shareLeaseMillis() * 1_000_000;
        for (GroupHost host : hosts.values()) {
            for (EngineDump.Endpoint endpoint : host.dump().endpoints()) {
                lease(host, endpoint.endpoint(), shares, deadline);
            }
        }
    }

    /** An endpoint without an entry has no share any more. */
    private static void lease(
            GroupHost host,
            String endpoint,
            Map<EndpointKey, ControlUpdate.Share> shares,
            long deadline) {
        ControlUpdate.Share none = new ControlUpdate.Share(host.group(), endpoint, 0, 0, 0);
        ControlUpdate.Share share =
                shares.getOrDefault(new EndpointKey(host.group(), endpoint), none);
        host.submit(
                new EngineEvent.ShareLeased(
                        endpoint,
                        share.floor(),
                        share.connections(),
                        share.longPermits(),
                        deadline));
    }

    /** Refuses the requests in flight that the rules do not allow any more. */
    void reviewRequests() {
        for (AdmittedRequests.Revocation revocation : rules.review()) {
            AdmittedRequest request = revocation.request();
            ErrorBody error = AccessControl.refusal(revocation.decision());
            host(request.group()).forEach(h -> h.submit(revoked(request.id(), error)));
        }
    }

    /**
     * A proxy that was frozen beyond the end of its lease must not send what waits in its queues,
     * so this runs before each event of an engine.
     */
    private void reviewAfterLease() {
        if (rules.leaseEnded()) {
            reviewRequests();
        }
    }

    /** Returns the event that refuses a request for this reason. */
    static EngineEvent.RequestRevoked revoked(long request, ErrorBody error) {
        return new EngineEvent.RequestRevoked(
                request, ErrorKind.valueOf(error.kind()), error.message());
    }

    /** Begins the planned stop of all groups. */
    void stop() {
        List.copyOf(hosts.values()).forEach(h -> h.submit(new EngineEvent.StopRequested()));
    }

    /** Returns whether the planned stop of all groups is complete. */
    boolean stopped() {
        return hosts.values().stream().allMatch(GroupHost::stopped);
    }

    private GroupHost newHost(String group) {
        RandomGenerator random =
                RandomGeneratorFactory.of("L64X128MixRandom").create(System.nanoTime());
        GroupEngine engine = new GroupEngine(settings, proxy, group, random);
        return new GroupHost(group, engine, port, replies, timer, clock, this::reviewAfterLease);
    }

    @Override
    public void close() {
        hosts.values().forEach(GroupHost::close);
    }
}
