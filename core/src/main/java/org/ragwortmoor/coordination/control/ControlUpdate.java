package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.GroupView;

/**
 * The leader's answer to a {@link ProxyReport}.
 *
 * @param proxy proxy that sent the report
 * @param leaderTerm consensus term of the leader; a proxy ignores updates of lower terms
 * @param reportSequence sequence of the answered report; 0 in a request for a complete report,
 *     which has no other content
 * @param reportSentAt {@code sentAt} of the answered report
 * @param rulesLeaseMillis duration of the rules lease in milliseconds, counted from {@code
 *     reportSentAt}
 * @param shareLeaseMillis duration of the share leases in milliseconds, counted from {@code
 *     reportSentAt}
 * @param rules newest rules, if the report stated an older version
 * @param pending pending rules with wider scopes that the proxy has not prepared yet
 * @param groups groups that changed after the revision that the proxy acknowledged
 * @param shares share of each endpoint in the report; the proxy has no share of any other endpoint.
 *     The answer to a report with a base contains only the shares that changed after the answer to
 *     the base
 * @param tokenKeys keys for session tokens, newest first; empty if the state has not changed since
 *     the revision that the proxy acknowledged
 * @param proxyIncarnation incarnation that sent the report; other incarnations ignore the update
 * @param groupsRevision revision of the directory after this update; the proxy acknowledges it
 */
public record ControlUpdate(
        String proxy,
        long leaderTerm,
        long reportSequence,
        long reportSentAt,
        long rulesLeaseMillis,
        long shareLeaseMillis,
        Option<RulesText> rules,
        Option<RulesText> pending,
        List<GroupView> groups,
        List<Share> shares,
        List<TokenKey> tokenKeys,
        long proxyIncarnation,
        long groupsRevision) {
    /** Copies the lists. */
    public ControlUpdate {
        groups = List.copyOf(groups);
        shares = List.copyOf(shares);
        tokenKeys = List.copyOf(tokenKeys);
    }

    /**
     * Returns a request for a complete report, for a report whose base the leader does not have.
     */
    static ControlUpdate requestComplete(ProxyReport report, long leaderTerm) {
        return new ControlUpdate(
                report.proxy(),
                leaderTerm,
                0,
                report.sentAt(),
                0,
                0,
                Option.none(),
                Option.none(),
                List.of(),
                List.of(),
                List.of(),
                report.incarnation(),
                0);
    }

    /** Returns whether the leader requests a complete report; such an update grants nothing. */
    public boolean requestsComplete() {
        return reportSequence == 0;
    }

    /** A version of the rule file. */
    public record RulesText(long version, String text) {}

    /**
     * A proxy's share of one endpoint.
     *
     * @param floor number of connections that the proxy may use without a lease
     * @param connections number of connections that the proxy may use while the lease is valid
     * @param longPermits number of long statements that the proxy may run concurrently while the
     *     lease is valid
     */
    public record Share(
            String group, String endpoint, int floor, int connections, int longPermits) {}
}
