package org.ragwortmoor.directory;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortmoor.coordination.directory.CallOutcome;
import org.ragwortmoor.coordination.directory.FailoverAction;
import org.ragwortmoor.coordination.directory.FailoverCoordinator;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.protocol.wire.PrimaryObservationMessage;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.Promotion;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.transport.StatementClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the failover coordinator's actions: surveys, promotion orders and calls of the platform.
 * Confined to the event loop.
 */
final class PromotionExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(PromotionExecutor.class);

    private final FailoverCoordinator failover = new FailoverCoordinator();
    private final String self;
    private final StatementClient statements;
    private final PromotionClient promotions;
    private final EventLoop loop;
    private final Consumer<FailoverAction.OrderPromotion> proposeOrder;

    /**
     * Creates an executor.
     *
     * @param self name of the process, recorded as holder of the promotions that it orders
     * @param proposeOrder proposes an order to the replicated log
     */
    PromotionExecutor(
            String self,
            StatementClient statements,
            PromotionClient promotions,
            EventLoop loop,
            Consumer<FailoverAction.OrderPromotion> proposeOrder) {
        this.self = self;
        this.statements = statements;
        this.promotions = promotions;
        this.loop = loop;
        this.proposeOrder = proposeOrder;
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
        return failover.describe();
    }

    private void execute(FailoverAction action) {
        if (action instanceof FailoverAction.Survey survey) {
            ServerRecord record = survey.server();
            ServerSurvey.start(
                    statements,
                    record,
                    survey.suspend(),
                    position -> failover.recordPosition(record.group(), record.id(), position));
        } else if (action instanceof FailoverAction.StepDown step) {
            ServerRecord record = step.server();
            ServerSurvey.stepDown(
                    statements,
                    record,
                    position -> failover.recordStepDown(record.group(), record.id(), position));
        } else if (action instanceof FailoverAction.OrderPromotion order) {
            LOG.info(
                    "event=promotion_ordered group={} server={} reason=\"{}\"",
                    order.group(),
                    order.server(),
                    order.reason());
            proposeOrder.accept(order);
        } else if (action instanceof FailoverAction.CallPromotion call) {
            callPlatform(call);
        } else if (action instanceof FailoverAction.ResumeReplication resume) {
            ServerSurvey.resume(statements, resume.server());
        }
    }

    private void callPlatform(FailoverAction.CallPromotion call) {
        promotions
                .promote(new Promotion(call.group(), call.server(), self, call.token()))
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
                                    call.group(), call.token(), result, System.nanoTime());
                        },
                        loop);
    }
}
