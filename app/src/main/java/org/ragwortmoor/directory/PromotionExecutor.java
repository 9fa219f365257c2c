package org.ragwortmoor.directory;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.ragwortmoor.coordination.directory.CallOutcome;
import org.ragwortmoor.coordination.directory.FailoverAction;
import org.ragwortmoor.coordination.directory.FailoverCoordinator;
import org.ragwortmoor.coordination.directory.PrimaryLeaseTable;
import org.ragwortmoor.coordination.directory.ServerStatus;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.protocol.wire.PrimaryObservationMessage;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.Promotion;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.transport.StatementClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the failover coordinator's actions: surveys, promotion orders and calls of the platform.
 * Confined to the event loop.
 */
final class PromotionExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(PromotionExecutor.class);

    private static final String BLOCKED_REMEDY =
            "start one of the servers that do not answer; or set the number of synchronous replicas"
                    + " to 0, which accepts that their commits are lost";

    private final FailoverCoordinator failover;
    private final PrimaryLeaseTable leases;
    private final String self;
    private final ServerSurveys surveys;
    private final PromotionClient promotions;
    private final EventLoop loop;
    private final Host host;

    /** What the executor needs from its process. */
    interface Host {
        /** Proposes a command to the replicated log. */
        void propose(DirectoryCommand command);

        /** Tells all proxies which leases are withheld. */
        void announceWithheldLeases();

        /**
         * Returns a check whether this process still leads the control group, without a leader in
         * between, since this call; always false if it does not lead now.
         */
        BooleanSupplier leadership();
    }

    /**
     * Creates an executor.
     *
     * @param self name of the process, recorded as holder of the promotions that it orders
     * @param leases leases of the proxies on the primaries
     */
    PromotionExecutor(
            String self,
            PrimaryLeaseTable leases,
            StatementClient statements,
            PromotionClient promotions,
            EventLoop loop,
            Host host) {
        this.failover = new FailoverCoordinator(leases);
        this.leases = leases;
        this.self = self;
        this.surveys = new ServerSurveys(statements, loop, host::leadership);
        this.promotions = promotions;
        this.loop = loop;
        this.host = host;
    }

    String self() {
        return self;
    }

    void reset(long now) {
        failover.reset(now);
    }

    void recordObservations(NodeReportMessage report, long now) {
        for (PrimaryObservationMessage observation : report.getPrimariesList()) {
            failover.recordObservation(
                    report.getProxy(),
                    observation.getGroup(),
                    observation.getServer(),
                    TimeUnit.MILLISECONDS.toNanos(observation.getSilentMillis()),
                    observation.getRefused(),
                    now);
        }
    }

    void tick(DirectoryState state, long now) {
        failover.tick(state, now).forEach(this::execute);
    }

    /**
     * Handles the commit of a promotion order of this process.
     *
     * @param token log index of the order, which serves as its fencing token
     */
    void orderCommitted(String group, String server, long token) {
        failover.orderCommitted(group, server, token, System.nanoTime()).forEach(this::execute);
    }

    List<String> dump() {
        return failover.describe(System.nanoTime());
    }

    private void execute(FailoverAction action) {
        if (action instanceof FailoverAction.Survey survey) {
            ServerRecord record = survey.server();
            surveys.start(record, status -> recordStatus(record, status));
        } else if (action instanceof FailoverAction.SuspendReplication suspension) {
            ServerRecord record = suspension.server();
            surveys.suspend(record, suspension.aboveTerm(), status -> recordStatus(record, status));
        } else if (action instanceof FailoverAction.StepDown step) {
            ServerRecord record = step.server();
            surveys.stepDown(
                    record,
                    position -> failover.recordStepDown(record.group(), record.id(), position));
        } else if (action instanceof FailoverAction.OrderPromotion order) {
            LOG.info(
                    "event=promotion_ordered group={} server={} reason=\"{}\"",
                    order.group(),
                    order.server(),
                    order.reason());
            host.propose(new DirectoryCommand.OrderPromotion(order.group(), order.server(), self));
        } else if (action instanceof FailoverAction.CallPromotion call) {
            callPlatform(call);
        } else if (action instanceof FailoverAction.ConfirmPromotion confirmation) {
            host.propose(
                    new DirectoryCommand.ConfirmPromotion(
                            confirmation.group(), confirmation.token()));
        } else if (action instanceof FailoverAction.AnnounceWithheldLeases withheld) {
            LOG.info(
                    "event=leases_withheld group={} holders={}",
                    withheld.group(),
                    leases.holders(withheld.group(), System.nanoTime()));
            host.announceWithheldLeases();
        } else if (action instanceof FailoverAction.ResumeReplication resume) {
            surveys.resume(resume.server(), status -> recordStatus(resume.server(), status));
        } else {
            recordOrReport(action);
        }
    }

    private void recordOrReport(FailoverAction action) {
        if (action instanceof FailoverAction.RecordSuspension suspension) {
            LOG.info(
                    "event=replication_{} group={}",
                    suspension.suspended() ? "suspending" : "resumed",
                    suspension.group());
            host.propose(
                    new DirectoryCommand.RecordSuspension(
                            suspension.group(), suspension.suspended()));
        } else if (action instanceof FailoverAction.ConfirmReplication confirmation) {
            LOG.info(
                    "event=departures_confirmed group={} index={}",
                    confirmation.group(),
                    confirmation.index());
            host.propose(
                    new DirectoryCommand.ConfirmReplication(
                            confirmation.group(), confirmation.index()));
        } else if (action instanceof FailoverAction.RecordEnd end) {
            LOG.info(
                    "event=server_ended server={} group={} reason=\"it has announced that it"
                            + " leaves and does not answer\"",
                    end.server().id(),
                    end.server().group());
            host.propose(new DirectoryCommand.PutServer(end.server().withState(ServerState.GONE)));
        } else if (action instanceof FailoverAction.ReportBlocked blocked) {
            LOG.warn(
                    "event=promotion_blocked group={} reason=\"{}\" remedy=\"{}\"",
                    blocked.group(),
                    blocked.reason(),
                    BLOCKED_REMEDY);
        }
    }

    private void recordStatus(ServerRecord server, ServerStatus status) {
        failover.recordStatus(server, status, System.nanoTime());
    }

    private void callPlatform(FailoverAction.CallPromotion call) {
        BooleanSupplier stillLeads = host.leadership();
        if (!stillLeads.getAsBoolean()) {
            LOG.info(
                    "event=promotion_call_dropped group={} token={} reason=\"not the leader\"",
                    call.group(),
                    call.token());
            return;
        }
        promotions
                .promote(
                        new Promotion(call.group(), call.server(), self, call.token(), false),
                        stillLeads)
                .whenCompleteAsync(
                        (outcome, error) -> {
                            CallOutcome result = error == null ? outcome : CallOutcome.UNKNOWN;
                            LOG.info(
                                    "event=promotion_called group={} server={} token={} outcome={}"
                                            + " error={}",
                                    call.group(),
                                    call.server(),
                                    call.token(),
                                    result,
                                    String.valueOf(error));
                            failover.recordCallOutcome(
                                            call.group(), call.token(), result, System.nanoTime())
                                    .forEach(this::execute);
                        },
                        loop);
    }
}
