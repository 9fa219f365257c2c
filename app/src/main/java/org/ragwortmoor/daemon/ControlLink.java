package org.ragwortmoor.daemon;

import io.vavr.control.Option;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.ragwortmoor.coordination.activation.RulesGate;
import org.ragwortmoor.coordination.activation.UpdateResult;
import org.ragwortmoor.coordination.control.ControlUpdate;
import org.ragwortmoor.coordination.control.ControlUpdate.RulesText;
import org.ragwortmoor.coordination.control.ProxyReport;
import org.ragwortmoor.coordination.control.ProxyShares;
import org.ragwortmoor.coordination.control.ReportDeltaEncoder;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerEnvelope;
import org.ragwortmoor.transport.PeerClient;
import org.ragwortmoor.transport.PeerListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends a proxy's reports to all control processes and takes the leader's updates. The leader is
 * the process that sent the newest applied update; only its reports have content.
 */
final class ControlLink implements PeerListener, AutoCloseable {
    /** Short against the leases of 2 s and 3 s, so that several reports may be lost. */
    static final long REPORT_MILLIS = 250;

    private static final Logger LOG = LoggerFactory.getLogger(ControlLink.class);

    private final List<String> controls;
    private final ReportBuilder reports;
    private final AccessControl access;
    private final GroupDirectory groups;
    private final SessionService sessions;
    private final BooleanSupplier stopping;
    private final LongSupplier clock;
    private final AtomicLong updates = new AtomicLong();
    private final ProxyShares shares;
    private final ReportDeltaEncoder changes = new ReportDeltaEncoder();
    private final AtomicReference<String> leader = new AtomicReference<>("");
    private final AtomicReference<ProxyReport.Acknowledged> acknowledged =
            new AtomicReference<>(ProxyReport.Acknowledged.NONE);
    private PeerClient peers;
    private ScheduledFuture<?> schedule;

    ControlLink(
            List<String> controls,
            ReportBuilder reports,
            AccessControl access,
            GroupDirectory groups,
            SessionService sessions,
            BooleanSupplier stopping,
            LongSupplier clock) {
        this.controls = List.copyOf(controls);
        this.reports = reports;
        this.access = access;
        this.groups = groups;
        this.sessions = sessions;
        this.stopping = stopping;
        this.clock = clock;
        this.shares = new ProxyShares(reports.incarnation());
    }

    /** Starts to report. */
    void start(PeerClient client, ScheduledExecutorService timer) {
        peers = client;
        schedule =
                timer.scheduleAtFixedRate(
                        Workers.guarded(this::report), 0, REPORT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the number of accepted updates. */
    long updates() {
        return updates.get();
    }

    private void report() {
        // Also reviews requests that were admitted while the version changed.
        groups.reviewRequests();
        ReportDeltaEncoder.EncodedReports encoded =
                changes.next(
                        reports.next(
                                groups.hosts().stream().map(GroupHost::dump).toList(),
                                Math.max(0, access.appliedVersion()),
                                access.preparedVersion(),
                                stopping.getAsBoolean(),
                                acknowledged.get(),
                                clock.getAsLong()));
        PeerBody.Report full = new PeerBody.Report(encoded.leader());
        PeerBody.Report other = new PeerBody.Report(encoded.others());
        String leading = leader.get();
        controls.forEach(control -> peers.send(control, control.equals(leading) ? full : other));
    }

    @Override
    public void received(PeerEnvelope message, Reply reply) {
        throw new IllegalStateException("a proxy accepts no connections of control processes");
    }

    @Override
    public void receivedFrom(String address, PeerEnvelope message, Reply reply) {
        // Leases of an earlier incarnation count from a clock that this process does not have.
        if (message.body() instanceof PeerBody.Update update
                && update.update().proxyIncarnation() == reports.incarnation()) {
            accept(address, update.update());
        }
    }

    /** Workers may handle updates out of order; the lock keeps an older one from coming last. */
    private synchronized void accept(String address, ControlUpdate received) {
        if (received.requestsComplete()) {
            if (received.leaderTerm() >= acknowledged.get().leaderTerm()) {
                changes.requestComplete();
            }
            return;
        }
        long before = access.activeVersion();
        ControlUpdate update = withInitialRules(received, before);
        UpdateResult result = access.accept(update);
        switch (result.kind()) {
            case STALE -> {
                return;
            }
            case REFUSED -> {
                LOG.error("update of the control leader refused: {}", result.message());
                return;
            }
            default -> {
                if (!shares.apply(update, changes.isDelta(update.reportSequence()))) {
                    return;
                }
                updates.incrementAndGet();
                if (!update.tokenKeys().isEmpty()) {
                    sessions.replaceKeys(update.tokenKeys());
                }
                groups.accept(update, shares.shares());
                leader.set(address);
                acknowledged.set(shares.acknowledged());
            }
        }
        long after = access.activeVersion();
        if (after != before) {
            LOG.info("rules version {} is active, before {}", after, before);
            groups.reviewRequests();
        }
    }

    /**
     * Adds the empty version 0 if the leader has no rules: this update answers a report of version
     * 0, so a leader with rules would have sent them. Without a lease nothing is added: after a
     * restore the leader holds its rules back until an operator has confirmed them, and the scopes
     * of a first file do not wait for a proxy that is no member.
     */
    private static ControlUpdate withInitialRules(ControlUpdate update, long active) {
        if (active != RulesGate.NO_VERSION
                || update.rules().isDefined()
                || update.rulesLeaseMillis() == 0) {
            return update;
        }
        return new ControlUpdate(
                update.proxy(),
                update.leaderTerm(),
                update.reportSequence(),
                update.reportSentAt(),
                update.rulesLeaseMillis(),
                update.shareLeaseMillis(),
                Option.of(new RulesText(0, "")),
                update.pending(),
                update.groups(),
                update.shares(),
                update.tokenKeys(),
                update.proxyIncarnation(),
                update.groupsRevision());
    }

    @Override
    public void close() {
        if (schedule != null) {
            schedule.cancel(false);
        }
        if (peers != null) {
            peers.close();
        }
    }
}
