package org.ragwortmoor.protocol;

import org.ragwortmoor.coordination.quota.QuotaAnswer;
import org.ragwortmoor.coordination.quota.QuotaGrant;
import org.ragwortmoor.coordination.quota.UsageReport;
import org.ragwortmoor.coordination.quota.WorkspaceUsage;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.protocol.wire.QuotaGrantMessage;
import org.ragwortmoor.protocol.wire.QuotaStanding;
import org.ragwortmoor.protocol.wire.WorkspaceUsageMessage;

/** Converts the messages about quotas to and from protobuf. */
public final class QuotaCodec {
    private QuotaCodec() {}

    /** Adds the use of quotas to a report. */
    public static void encode(UsageReport report, NodeReportMessage.Builder builder) {
        builder.setQuotaEpoch(report.epoch())
                .setQuotaStanding(
                        report.complete()
                                ? QuotaStanding.QUOTA_STANDING_COMPLETE
                                : QuotaStanding.QUOTA_STANDING_PARTIAL);
        for (WorkspaceUsage usage : report.usage()) {
            builder.addUsage(
                    WorkspaceUsageMessage.newBuilder()
                            .setWorkspace(usage.workspace())
                            .setUsedTotal(usage.usedTotal())
                            .setReturnedTotal(usage.returnedTotal())
                            .setAvailable(usage.available())
                            .setRecentUsed(usage.recentUsed())
                            .setWaiting(usage.waiting())
                            .setWanted(usage.wanted()));
        }
    }

    /** Returns whether the proxy that sent a report has quotas. */
    public static boolean concernsQuotas(NodeReportMessage report) {
        return report.getQuotaStanding() != QuotaStanding.QUOTA_STANDING_NONE;
    }

    /** Returns the use of quotas of a report. */
    public static UsageReport decode(NodeReportMessage report) {
        return new UsageReport(
                report.getQuotaEpoch(),
                report.getQuotaStanding() == QuotaStanding.QUOTA_STANDING_COMPLETE,
                report.getUsageList().stream().map(QuotaCodec::decode).toList());
    }

    private static WorkspaceUsage decode(WorkspaceUsageMessage message) {
        return new WorkspaceUsage(
                message.getWorkspace(),
                message.getUsedTotal(),
                message.getReturnedTotal(),
                message.getAvailable(),
                message.getRecentUsed(),
                message.getWaiting(),
                message.getWanted());
    }

    /** Returns an update that consists of an answer about quotas. */
    public static DirectoryUpdateMessage.Builder encode(QuotaAnswer answer) {
        DirectoryUpdateMessage.Builder update =
                DirectoryUpdateMessage.newBuilder()
                        .setLeader(true)
                        .setQuotaEpoch(answer.epoch())
                        .setReportId(answer.reportId())
                        .setRoutesRevision(answer.routesRevision());
        for (QuotaGrant grant : answer.grants()) {
            update.addGrants(
                    QuotaGrantMessage.newBuilder()
                            .setWorkspace(grant.workspace())
                            .setGrantedTotal(grant.grantedTotal())
                            .setRetryAfterMillis(grant.retryAfterMillis()));
        }
        return update;
    }

    /** Returns whether an update is an answer about quotas, which contains nothing else. */
    public static boolean concernsQuotas(DirectoryUpdateMessage update) {
        return update.getQuotaEpoch() != 0;
    }

    /** Returns the answer about quotas of an update. */
    public static QuotaAnswer decode(DirectoryUpdateMessage update) {
        return new QuotaAnswer(
                update.getQuotaEpoch(),
                update.getReportId(),
                update.getRoutesRevision(),
                update.getGrantsList().stream()
                        .map(
                                grant ->
                                        new QuotaGrant(
                                                grant.getWorkspace(),
                                                grant.getGrantedTotal(),
                                                grant.getRetryAfterMillis()))
                        .toList());
    }
}
