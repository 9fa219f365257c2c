package org.ragwortmoor.directory;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.quota.QuotaGrant;
import org.ragwortmoor.coordination.quota.QuotaLedger;
import org.ragwortmoor.coordination.quota.QuotaSettings;
import org.ragwortmoor.coordination.quota.UsageReport;
import org.ragwortmoor.protocol.QuotaCodec;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.FleetSize;
import org.ragwortmoor.transport.PeerListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The quotas of workspaces at the leader: passes reports of proxies to the ledger and sends its
 * answers. Confined to the event loop.
 */
final class LeaderQuotas {
    /** Minimum interval between contacts of the members on behalf of waiting operations. */
    private static final long CONFIRMATION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** Time after which a process that does not report is forgotten. */
    private static final long REPLY_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(15);

    private static final int LINES_PER_SECOND = 5;

    private static final Logger LOG = LoggerFactory.getLogger(LeaderQuotas.class);

    private final QuotaSettings settings;
    private final QuotaLedger ledger;
    private final LineLimit lines = new LineLimit(LINES_PER_SECOND, System::nanoTime);
    private final Map<QuotaLedger.Process, ReplyPath> replies = new HashMap<>();
    private boolean confirmationNeeded;
    private long confirmationRequestedAt = System.nanoTime();

    private record ReplyPath(PeerListener.Reply reply, boolean relayed, long reportedAt) {}

    LeaderQuotas(QuotaSettings settings) {
        this.settings = settings;
        this.ledger = new QuotaLedger(settings);
    }

    /** Starts anew after this process was elected, unless it leads the same term again. */
    void elected(long term, DirectoryState state, long now) {
        ledger.elected(term, state.fleet().proxies(), now);
    }

    /** Records a report; returns whether operations wait for its answer. */
    boolean record(NodeReportMessage report, PeerListener.Reply reply, long now) {
        if (!settings.enabled() || !QuotaCodec.concernsQuotas(report)) {
            return false;
        }
        QuotaLedger.Process process =
                new QuotaLedger.Process(report.getProxy(), report.getIncarnation());
        UsageReport usage = QuotaCodec.decode(report);
        ledger.record(process, report.getId(), usage, now);
        replies.put(process, new ReplyPath(reply, report.getRelayed(), now));
        boolean waiting = usage.usage().stream().anyMatch(u -> u.waiting() > 0);
        confirmationNeeded |= waiting;
        return waiting;
    }

    /** Returns whether the members should be contacted now; the caller does so. */
    boolean confirmationDue(long now) {
        boolean due =
                confirmationNeeded && now - confirmationRequestedAt >= CONFIRMATION_INTERVAL_NANOS;
        if (due) {
            confirmationNeeded = false;
            confirmationRequestedAt = now;
        }
        return due;
    }

    /** Sets the limits and the number of proxies that may have tokens. */
    void setState(DirectoryState state, FleetSize fleet) {
        ledger.setWorkspaces(state.routes().workspaces(), state.routesRevision());
        ledger.setRecordedProxies(fleet.proxies());
    }

    /** Sends the answers to the reports that arrived no later than a confirmed time. */
    void answer(long contactAt, long now) {
        if (!settings.enabled()) {
            return;
        }
        for (QuotaLedger.Answer answer : ledger.confirm(contactAt, now)) {
            ReplyPath path = replies.get(answer.process());
            if (path != null) {
                DirectoryUpdateMessage.Builder update = QuotaCodec.encode(answer.answer());
                if (path.relayed()) {
                    update.setDestination(answer.process().proxy());
                }
                path.reply()
                        .send(
                                ProxyRegistry.toBody(
                                        DirectoryMessage.newBuilder().setUpdate(update).build()));
            }
            answer.answer().grants().forEach(grant -> logExhausted(answer.process(), grant));
        }
        replies.values().removeIf(path -> now - path.reportedAt() >= REPLY_EXPIRY_NANOS);
    }

    private void logExhausted(QuotaLedger.Process process, QuotaGrant grant) {
        if (grant.retryAfterMillis() > 0 && lines.tryAcquire()) {
            LOG.info(
                    "event=quota_exhausted workspace={} proxy={} retry_ms={} omitted={}",
                    grant.workspace(),
                    process.proxy(),
                    grant.retryAfterMillis(),
                    lines.takeOmitted());
        }
    }

    /** Returns the number of proxies that may have tokens. */
    int memberCount() {
        return ledger.memberCount();
    }

    /** Returns the use of each quota as text lines, for the state dump. */
    List<String> describe(long now) {
        return ledger.describe(now);
    }
}
