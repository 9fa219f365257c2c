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

/** Carries out the decisions about primaries: surveys, orders and calls. Confined to the loop. */
final class PromotionRunner {
    private static final Logger LOG = LoggerFactory.getLogger(PromotionRunner.class);

    private final FailoverCoordinator failover = new FailoverCoordinator();
    private final String self;
    private final StatementClient statements;
    private final PromotionCaller promotions;
    private final EventLoop loop;
    private final Consumer<FailoverAction.OrderPromotion> orders;

    /**
     * Creates a runner.
     *
     * @param self name of the process, which holds the promotions that it orders
     * @param orders proposes an order to the replicated log
     */
    PromotionRunner(
            String self,
            StatementClient statements,
            PromotionCaller promotions,
            EventLoop loop,
            Consumer<FailoverAction.OrderPromotion> orders) {
        this.self = self;
        this.statements = statements;
        this.promotions = promotions;
        this.loop = loop;
        this.orders = orders;
    }

    void restart(long now) {
        failover.reset(now);
    }

    void observed(NodeReportMessage report, long now) {
        for (PrimaryObservationMessage seen : report.getPrimariesList()) {
            failover.recordObservation(
                    report.getProxy(),
                    seen.getGroup(),
                    seen.getServer(),
                    TimeUnit.MILLISECONDS.toNanos(seen.getSilentMillis()),
                    seen.getRefused(),
                    now);
        }
    }

    void tick(DirectoryState state, long now) {
        failover.tick(state, now).forEach(this::perform);
    }

    /** An order of this process was committed at a log index, which is its fencing token. */
    void ordered(String group, String server, long token) {
        failover.orderCommitted(group, server, token, System.nanoTime()).forEach(this::perform);
    }

    List<String> describe() {
        return failover.describe();
    }

    private void perform(FailoverAction action) {
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
            orders.accept(order);
        } else if (action instanceof FailoverAction.CallPromotion call) {
            call(call);
        } else if (action instanceof FailoverAction.ResumeReplication resume) {
            ServerSurvey.resume(statements, resume.server());
        }
    }

    private void call(FailoverAction.CallPromotion call) {
        promotions
                .promote(new Promotion(call.group(), call.server(), self, call.token()))
                .whenCompleteAsync(
                        (outcome, error) -> {
                            CallOutcome known = error == null ? outcome : CallOutcome.UNKNOWN;
                            LOG.info(
                                    "event=promotion_called group={} server={} token={} outcome={}"
                                            + " error={}",
                                    call.group(),
                                    call.server(),
                                    call.token(),
                                    known,
                                    String.valueOf(error));
                            failover.recordCallOutcome(
                                    call.group(), call.token(), known, System.nanoTime());
                        },
                        loop);
    }
}
