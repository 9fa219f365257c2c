package org.ragwortmoor.coordination.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.workspace.OperationGate;
import org.ragwortmoor.state.workspace.RateLimit;
import org.ragwortmoor.state.workspace.Workspace;

/** Guards the rules of the protocol whose breach random histories seldom show. */
class QuotaProtocolTest {
    private static final long SECOND = 1_000_000_000L;
    private static final QuotaSettings SETTINGS = new QuotaSettings(5, 0, 0);
    private static final RateLimit LIMIT = new RateLimit(20, 0);
    private static final RateLimit LOWER = new RateLimit(2, 0);

    private final Host host = new Host();
    private final QuotaAccount account = new QuotaAccount(SETTINGS, host);
    private final List<String> outcomes = new ArrayList<>();

    private static final class Host implements QuotaHost {
        private long now;

        @Override
        public long now() {
            return now;
        }

        @Override
        public long clockOffsetMillis() {
            return 0;
        }

        @Override
        public void schedule(long deadline, Runnable task) {}

        @Override
        public void reportNeeded() {}

        @Override
        public void decided(String workspace, Decision decision) {}
    }

    private static Option<List<Workspace>> workspaces(RateLimit limit) {
        return Option.some(List.of(new Workspace("w", List.of("k"), 0, Option.some(limit))));
    }

    private void request() {
        account.request(
                new OperationGate.Operation("w", "s", host.now + SECOND),
                new OperationGate.Listener() {
                    @Override
                    public void permitted() {
                        outcomes.add("permitted");
                    }

                    @Override
                    public void refused(String reason, int retryAfterMillis) {
                        outcomes.add("refused");
                    }
                });
    }

    private void answer(long epoch, long report, long revision, QuotaGrant... grants) {
        account.apply(new QuotaAnswer(epoch, report, revision, List.of(grants)));
    }

    /** Joins epoch 4 and gets tokens with the answer to report 2. */
    private void join(long tokens) {
        account.setWorkspaces(workspaces(LIMIT), 1);
        account.report(1);
        answer(4, 1, 1);
        account.report(2);
        answer(4, 2, 1, new QuotaGrant("w", tokens, 0));
    }

    private long available() {
        return account.report(1_000).usage().stream().mapToLong(u -> u.available()).sum();
    }

    @Test
    void grantsOfAnEarlierEpochAreIgnored() {
        join(0);
        account.report(3);
        account.report(4);
        answer(5, 3, 1);
        account.report(5);
        answer(4, 4, 1, new QuotaGrant("w", 9, 0));
        answer(4, 5, 1, new QuotaGrant("w", 9, 0));
        request();
        assertThat(outcomes).isEmpty();
        assertThat(account.report(6).epoch()).isEqualTo(5);
    }

    /** The new leader does not know the tokens yet and may consider them free. */
    @Test
    void theAdoptionOfAnEpochDoesNotRenewTheLeaseOnTokens() {
        join(3);
        host.now = 4 * SECOND;
        // Without an operation the account would return its tokens.
        request();
        account.report(3);
        answer(5, 3, 1);
        assertThat(account.report(4).usage().get(0).available()).isEqualTo(1);
        host.now = 6 * SECOND;
        request();
        assertThat(outcomes).containsExactly("permitted");
    }

    @Test
    void theFirstReportOfAnEpochStatesWhatWasUsedBefore() {
        join(3);
        request();
        request();
        account.report(3);
        answer(5, 3, 1);
        UsageReport report = account.report(4);
        assertThat(report.epoch()).isEqualTo(5);
        assertThat(report.usage().get(0).recentUsed()).isEqualTo(2);
        assertThat(report.usage().get(0).available()).isEqualTo(1);
    }

    @Test
    void tokensOfAHigherLimitAreReturned() {
        join(3);
        account.setWorkspaces(workspaces(LOWER), 2);
        request();
        assertThat(outcomes).isEmpty();
        assertThat(available()).isZero();
    }

    @Test
    void aLateGrantUnderAHigherLimitIsReturned() {
        join(0);
        account.setWorkspaces(workspaces(LOWER), 2);
        account.report(3);
        answer(4, 3, 1, new QuotaGrant("w", 7, 0));
        request();
        assertThat(outcomes).isEmpty();
        account.report(4);
        answer(4, 4, 2, new QuotaGrant("w", 8, 0));
        assertThat(outcomes).containsExactly("permitted");
    }

    private static UsageReport report(long epoch, boolean complete, WorkspaceUsage... usage) {
        return new UsageReport(epoch, complete, List.of(usage));
    }

    private static WorkspaceUsage waiting(int waiting) {
        return new WorkspaceUsage("w", 0, 0, 0, 0, waiting, 0);
    }

    private static QuotaLedger ledger(int recordedProxies) {
        QuotaLedger ledger = new QuotaLedger(SETTINGS);
        ledger.elected(7, recordedProxies, 0);
        ledger.setWorkspaces(workspaces(LIMIT), 1);
        return ledger;
    }

    private static long granted(QuotaLedger ledger, long now) {
        return ledger.confirm(now, now).stream()
                .flatMap(a -> a.answer().grants().stream())
                .mapToLong(QuotaGrant::grantedTotal)
                .sum();
    }

    /** Its predecessor of the same name may have used tokens that nobody reports. */
    @Test
    void aNewLeaderDoesNotCountAProxyThatCannotVouchForItsName() {
        QuotaLedger ledger = ledger(1);
        ledger.record(new QuotaLedger.Process("p", 1), 1, report(7, false, waiting(5)), 1);
        assertThat(granted(ledger, 2)).isZero();
        ledger.record(new QuotaLedger.Process("p", 1), 2, report(7, true, waiting(5)), 3);
        assertThat(granted(ledger, 4)).isEqualTo(5);
    }

    @Test
    void aNewLeaderCountsUsesUnderItsPredecessor() {
        QuotaLedger ledger = ledger(1);
        WorkspaceUsage usage = new WorkspaceUsage("w", 0, 0, 10, 60, 100, 0);
        ledger.record(new QuotaLedger.Process("p", 1), 1, report(7, true, usage), 1);
        // Of 97 tokens, 60 are used and 10 held; the held ones cover operations that wait.
        assertThat(granted(ledger, 2)).isEqualTo(27);
    }

    @Test
    void anUnconfirmedReportIsNotAnswered() {
        QuotaLedger ledger = ledger(1);
        ledger.record(new QuotaLedger.Process("p", 1), 1, report(7, true, waiting(5)), 100);
        assertThat(ledger.confirm(99, 200)).isEmpty();
        assertThat(ledger.confirm(100, 300)).hasSize(1);
    }

    /** A later leader would take that many proxies for all that may have tokens. */
    @Test
    void noMoreProxiesAreAdmittedThanAreRecorded() {
        QuotaLedger ledger = ledger(0);
        ledger.tick(0);
        ledger.setRecordedProxies(1);
        ledger.record(new QuotaLedger.Process("p", 1), 1, report(0, false), 1);
        ledger.record(new QuotaLedger.Process("q", 2), 1, report(0, false), 1);
        assertThat(ledger.confirm(1, 2)).hasSize(1);
        // A new process of the same name takes the place of the former one.
        ledger.record(new QuotaLedger.Process("p", 3), 1, report(0, false), 3);
        assertThat(ledger.confirm(3, 4)).hasSize(1);
        ledger.setRecordedProxies(2);
        ledger.record(new QuotaLedger.Process("q", 2), 2, report(0, false), 5);
        assertThat(ledger.confirm(5, 6)).hasSize(1);
    }

    @Test
    void aLostAnswerIsRepeated() {
        QuotaLedger ledger = ledger(1);
        QuotaLedger.Process process = new QuotaLedger.Process("p", 1);
        ledger.record(process, 1, report(7, true, waiting(5)), 1);
        assertThat(granted(ledger, 2)).isEqualTo(5);
        ledger.record(process, 2, report(7, true), 3);
        assertThat(granted(ledger, 4)).isEqualTo(5);
        ledger.record(process, 3, report(7, true, new WorkspaceUsage("w", 1, 0, 4, 0, 0, 0)), 5);
        assertThat(granted(ledger, 6)).isZero();
    }

    @Test
    void withoutWindowNothingIsCounted() {
        QuotaAccount off = new QuotaAccount(new QuotaSettings(0, 0, 0), host);
        off.setWorkspaces(workspaces(LIMIT), 1);
        assertThat(off.active()).isFalse();
    }
}
