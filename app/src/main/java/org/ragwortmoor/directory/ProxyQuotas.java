package org.ragwortmoor.directory;

import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.quota.QuotaAccount;
import org.ragwortmoor.coordination.quota.QuotaHost;
import org.ragwortmoor.coordination.quota.QuotaSettings;
import org.ragwortmoor.coordination.quota.UrgentReports;
import org.ragwortmoor.coordination.session.DirectoryView;
import org.ragwortmoor.coordination.workspace.OperationGate;
import org.ragwortmoor.protocol.QuotaCodec;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The quotas of workspaces at a proxy: connects the account to the reports, the clock and the
 * metrics. Confined to the proxy's event loop.
 */
final class ProxyQuotas {
    private static final int LINES_PER_SECOND = 5;

    private static final Logger LOG = LoggerFactory.getLogger(ProxyQuotas.class);

    private final QuotaSettings settings;
    private final QuotaAccount account;
    private final LineLimit lines = new LineLimit(LINES_PER_SECOND, System::nanoTime);
    private final QuotaMetrics metrics;

    /**
     * Creates quotas without limits.
     *
     * @param windowSeconds window of the limits; 0 if there are none
     * @param sendReport sends a report ahead of time
     */
    ProxyQuotas(
            double windowSeconds,
            EventLoop loop,
            Runnable sendReport,
            PrometheusRegistry registry) {
        // The excess and the slack matter to the leader only.
        this.settings = new QuotaSettings(windowSeconds, 0, 0);
        this.account = new QuotaAccount(settings, new Host(loop, sendReport));
        this.metrics = new QuotaMetrics(registry);
    }

    /** Returns what decides whether operations may start. */
    OperationGate gate() {
        return settings.enabled() ? account : OperationGate.OPEN;
    }

    /** Applies the limits of a directory view. */
    void update(DirectoryView view) {
        account.setWorkspaces(view.routes().workspaces(), view.routesRevision());
    }

    /** Adds the use of the quotas to a report, if there are any. */
    void addUsage(NodeReportMessage.Builder report, long id) {
        if (account.active()) {
            QuotaCodec.encode(account.report(id), report);
        }
    }

    /** Applies an answer of the leader. */
    void apply(DirectoryUpdateMessage update) {
        account.apply(QuotaCodec.decode(update));
    }

    /** Returns one line per limited workspace, for the state dump. */
    List<String> describe() {
        return account.describe();
    }

    private final class Host implements QuotaHost {
        private final EventLoop loop;
        private final Runnable sendReport;
        private final UrgentReports urgentReports = new UrgentReports(System.nanoTime());
        private boolean reportPlanned;

        Host(EventLoop loop, Runnable sendReport) {
            this.loop = loop;
            this.sendReport = sendReport;
        }

        @Override
        public long now() {
            return System.nanoTime();
        }

        @Override
        public long clockOffsetMillis() {
            return System.currentTimeMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        }

        @Override
        public void schedule(long deadline, Runnable task) {
            loop.schedule(
                    () -> runAndLogFailure(task),
                    Math.max(0, deadline - System.nanoTime()),
                    TimeUnit.NANOSECONDS);
        }

        @Override
        public void reportNeeded() {
            if (!reportPlanned) {
                reportPlanned = true;
                // Operations that arrive together share a report.
                loop.schedule(
                        () -> {
                            reportPlanned = false;
                            runAndLogFailure(sendReport);
                        },
                        urgentReports.reserve(System.nanoTime()),
                        TimeUnit.NANOSECONDS);
            }
        }

        private void runAndLogFailure(Runnable task) {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("event=task_failed", e);
            }
        }

        @Override
        public void decided(String workspace, Decision decision) {
            metrics.decided(decision);
            boolean refused = decision == Decision.EXHAUSTED || decision == Decision.UNANSWERED;
            if (refused && lines.tryAcquire()) {
                LOG.info(
                        "event=quota_refused workspace={} decision={} omitted={}",
                        workspace,
                        QuotaMetrics.label(decision),
                        lines.takeOmitted());
            }
        }
    }
}
