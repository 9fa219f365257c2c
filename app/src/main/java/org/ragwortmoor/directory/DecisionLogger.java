package org.ragwortmoor.directory;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Option;
import java.util.function.LongSupplier;
import org.ragwortmoor.coordination.session.DecisionLog;
import org.ragwortmoor.state.Position;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the session engine's decisions as structured lines and counts them in metrics. Successful
 * statements are only counted. Frequent lines are rate-limited; the number of omitted lines is
 * logged.
 */
public final class DecisionLogger implements DecisionLog {
    /** Rate limit; writing a line costs about as much as serving a statement. */
    private static final int LINES_PER_SECOND = 40;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final Logger LOG = LoggerFactory.getLogger(DecisionLogger.class);

    private final LineLimit lines;
    private final Counter statements;
    private final Counter forwarded;
    private final Counter connections;
    private final Counter openings;
    private final Counter idleClosings;
    private final Counter serverAnswers;
    private final Counter mismatchedAnswers;
    private final Counter keyRefusals;
    private final Histogram latency;

    /**
     * Creates and registers the metrics.
     *
     * @param clock time in nanoseconds, for the rate limit
     */
    public DecisionLogger(PrometheusRegistry registry, LongSupplier clock) {
        this.lines = new LineLimit(LINES_PER_SECOND, clock);
        this.statements =
                Counter.builder()
                        .name("ragwortmoor_statements_total")
                        .help("Ended statements by outcome")
                        .labelNames("outcome")
                        .withoutExemplars()
                        .register(registry);
        this.forwarded =
                Counter.builder()
                        .name("ragwortmoor_forwarded_statements_total")
                        .help("Ended statements that other proxies had forwarded, by outcome")
                        .labelNames("outcome")
                        .withoutExemplars()
                        .register(registry);
        this.connections =
                Counter.builder()
                        .name("ragwortmoor_server_connections_ended_total")
                        .help("Server connections that failed to open or were lost")
                        .labelNames("kind")
                        .withoutExemplars()
                        .register(registry);
        this.openings =
                Counter.builder()
                        .name("ragwortmoor_server_connections_opening_total")
                        .help("Server connections that were begun to open, by cause")
                        .labelNames("cause")
                        .register(registry);
        this.idleClosings =
                Counter.builder()
                        .name("ragwortmoor_server_connections_idle_closed_total")
                        .help("Idle server connections that the proxy closed, by cause")
                        .labelNames("cause")
                        .register(registry);
        this.serverAnswers =
                Counter.builder()
                        .name("ragwortmoor_server_answers_total")
                        .help("Answers of servers by signature or error code")
                        .labelNames("kind")
                        .withoutExemplars()
                        .register(registry);
        this.mismatchedAnswers =
                Counter.builder()
                        .name("ragwortmoor_server_answers_mismatched_total")
                        .help("Answers of servers to no statement in progress, by kind")
                        .labelNames("kind")
                        .withoutExemplars()
                        .register(registry);
        this.keyRefusals =
                Counter.builder()
                        .name("ragwortmoor_key_refusals_total")
                        .help("Callers and statements refused because of a key, by cause")
                        .labelNames("cause")
                        .register(registry);
        this.latency =
                Histogram.builder()
                        .name("ragwortmoor_statement_seconds")
                        .help("Time from the arrival of a statement to its answer")
                        .classicOnly()
                        .withoutExemplars()
                        .register(registry);
    }

    @Override
    public void statement(
            String id,
            String database,
            String server,
            String outcome,
            String reason,
            Option<Position> required,
            int attempts,
            long nanos) {
        statements.labelValues(outcome).inc();
        latency.observe(nanos / NANOS_PER_SECOND);
        if (!outcome.equals("ok") && tryAcquireLine()) {
            LOG.info(
                    "event=statement id={} database={} server={} outcome={} reason=\"{}\""
                            + " required={} attempts={} ms={}",
                    id,
                    database,
                    server,
                    outcome,
                    reason,
                    required.getOrNull(),
                    attempts,
                    nanos / NANOS_PER_MILLI);
        }
    }

    @Override
    public void forwardedStatement(
            String id,
            String from,
            String server,
            String outcome,
            String reason,
            Option<Position> required,
            int attempts,
            long nanos) {
        forwarded.labelValues(outcome).inc();
        if (!outcome.equals("ok") && tryAcquireLine()) {
            LOG.info(
                    "event=forwarded_statement id={} from={} server={} outcome={} reason=\"{}\""
                            + " required={} attempts={} ms={}",
                    id,
                    from,
                    server,
                    outcome,
                    reason,
                    required.getOrNull(),
                    attempts,
                    nanos / NANOS_PER_MILLI);
        }
    }

    @Override
    public void serverAnswered(String kind) {
        serverAnswers.labelValues(kind).inc();
    }

    @Override
    public void answerMismatched(
            String group, String server, String kind, String statementId, String message) {
        mismatchedAnswers.labelValues(kind).inc();
        if (tryAcquireLine()) {
            LOG.info(
                    "event=answer_mismatched group={} server={} kind={} statement={}"
                            + " message=\"{}\"",
                    group,
                    server,
                    kind,
                    statementId,
                    message);
        }
    }

    @Override
    public void connectionOpening(String cause) {
        openings.labelValues(cause).inc();
    }

    @Override
    public void idleConnectionClosed(String cause) {
        idleClosings.labelValues(cause).inc();
    }

    @Override
    public void connectionFailed(String group, String server, String reason) {
        connections.labelValues("failed").inc();
        if (tryAcquireLine()) {
            LOG.info(
                    "event=connection_failed group={} server={} reason=\"{}\"",
                    group,
                    server,
                    reason);
        }
    }

    @Override
    public void connectionLost(String group, String server, String reason) {
        connections.labelValues("lost").inc();
        if (tryAcquireLine()) {
            LOG.info(
                    "event=connection_lost group={} server={} reason=\"{}\"",
                    group,
                    server,
                    reason);
        }
    }

    @Override
    public void leaderChanged(String group, String from, String to, String reason) {
        LOG.info(
                "event=primary_changed group={} from={} to={} reason=\"{}\"",
                group,
                from,
                to,
                reason);
    }

    @Override
    public void leaderDenied(String group, String server, long term) {
        LOG.info("event=primary_denied group={} server={} highest_term={}", group, server, term);
    }

    @Override
    public void leaderConfirmed(String group, String server, long term) {
        LOG.info("event=primary_confirmed group={} server={} term={}", group, server, term);
    }

    @Override
    public void directoryApplied(long routesVersion, long routesRevision, long serversRevision) {
        LOG.info(
                "event=directory_applied routes_version={} routes_revision={} servers_revision={}",
                routesVersion,
                routesRevision,
                serversRevision);
    }

    @Override
    public void isolationChanged(boolean isolated, int silentLeaders, int groups) {
        LOG.info(
                "event={} directory={} silent_primaries={} groups={}",
                isolated ? "isolated" : "not_isolated",
                isolated ? "lost" : "any",
                silentLeaders,
                groups);
    }

    @Override
    public void keyRefused(String cause) {
        keyRefusals.labelValues(cause).inc();
    }

    @Override
    public void sessionEnded(String database, String reason) {
        if (tryAcquireLine()) {
            LOG.info("event=session_ended database={} reason=\"{}\"", database, reason);
        }
    }

    private boolean tryAcquireLine() {
        boolean allowed = lines.tryAcquire();
        long omitted = allowed ? lines.takeOmitted() : 0;
        if (omitted > 0) {
            LOG.info("event=lines_omitted count={}", omitted);
        }
        return allowed;
    }
}
