package org.ragwortmoor.daemon;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.ragwortmoor.backup.ControlBackup;
import org.ragwortmoor.coordination.consensus.ClusterStatus;
import org.ragwortmoor.coordination.consensus.MemberRepair;
import org.ragwortmoor.coordination.control.CommandResult;
import org.ragwortmoor.coordination.control.ControlDump;
import org.ragwortmoor.coordination.control.OperatorRequest;
import org.ragwortmoor.coordination.control.RuleHistory;
import org.ragwortmoor.http.ControlApi;

/** Serves operators on a control process. */
final class OperatorService implements ControlApi {
    /** An applied file is in force within the rules lease of 2 s, unless it waits for a proxy. */
    private static final long IN_FORCE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final long REPAIR_WAIT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long POLL_MILLIS = 50;

    private final ControlLoop loop;
    private final ScheduledExecutorService timer;
    private final Map<String, String> httpAddresses;

    OperatorService(
            ControlLoop loop, ScheduledExecutorService timer, Map<String, String> httpAddresses) {
        this.loop = loop;
        this.timer = timer;
        this.httpAddresses = httpAddresses;
    }

    @Override
    public CompletionStage<OperatorAnswer> applyRules(ApplyBody body) {
        if (body.text() == null || body.expectVersion() == null || body.expectVersion() < 0) {
            return refused("state text and expectVersion (0 if there is no version yet)");
        }
        return request(
                body.operationId(),
                body.operator(),
                operation ->
                        new OperatorRequest.Apply(operation, body.expectVersion(), body.text()),
                this::awaitInForce);
    }

    @Override
    public CompletionStage<OperatorAnswer> drainEndpoint(EndpointBody body) {
        return request(
                body.operationId(),
                body.operator(),
                operation ->
                        new OperatorRequest.Drain(operation, body.group(), body.endpoint(), true),
                OperatorService::completed);
    }

    @Override
    public CompletionStage<OperatorAnswer> removeProxy(ProxyBody body) {
        return request(
                body.operationId(),
                body.operator(),
                operation -> new OperatorRequest.RemoveMember(operation, body.proxy()),
                OperatorService::completed);
    }

    @Override
    public OperatorAnswer rules() {
        return onLoop(
                () -> {
                    RuleHistory rules = loop.machine().state().rules();
                    ControlDump dump = loop.machine().core().dump();
                    List<String> waiting = new ArrayList<>(dump.waitingFor());
                    waiting.addAll(dump.notInForceOn());
                    RulesBody body =
                            new RulesBody(
                                    rules.version(),
                                    rules.current().flatMap(RuleHistory.Entry::text).getOrElse(""),
                                    rules.inForce() >= rules.version(),
                                    waiting,
                                    rules.pending().map(RuleHistory.Entry::version).getOrElse(0L),
                                    rules.awaitsConfirmation());
                    return OperatorAnswer.done(rulesMessage(rules), body);
                });
    }

    private static String rulesMessage(RuleHistory rules) {
        return rules.awaitsConfirmation()
                ? "version "
                        + rules.version()
                        + " was restored from a backup and scoped records are held back; apply the"
                        + " rules that are to be in force with --expect-version "
                        + rules.version()
                : "version " + rules.version();
    }

    /** The state is immutable, so it is encoded outside of the loop, which must not wait. */
    @Override
    public OperatorAnswer backup() {
        OperatorAnswer taken = onLoop(() -> OperatorAnswer.done("", taken()));
        if (!(taken.body() instanceof ControlBackup backup)) {
            return taken;
        }
        String file = Base64.getEncoder().encodeToString(backup.encode());
        return OperatorAnswer.done("backup up to index " + backup.index(), new BackupBody(file));
    }

    private ControlBackup taken() {
        ClusterStatus status = loop.log().status(System.nanoTime());
        return new ControlBackup(
                status.self().node(),
                System.currentTimeMillis(),
                loop.machine().core().dump().leaderTerm(),
                status.commitIndex(),
                loop.machine().state());
    }

    @Override
    public OperatorAnswer rulesHistory() {
        return onLoop(
                () -> {
                    List<HistoryLine> lines =
                            loop.machine()
                                    .state()
                                    .rules()
                                    .accepted()
                                    .values()
                                    .map(OperatorService::line)
                                    .toJavaList();
                    return OperatorAnswer.done(lines.size() + " versions", lines);
                });
    }

    private static HistoryLine line(RuleHistory.Entry entry) {
        int lines = entry.text().map(t -> (int) t.lines().count()).getOrElse(-1);
        return new HistoryLine(
                entry.version(), entry.operator(), entry.timeMillis(), entry.operationId(), lines);
    }

    @Override
    public CompletionStage<OperatorAnswer> repair(RepairBody body) {
        CompletableFuture<OperatorAnswer> answer = new CompletableFuture<>();
        long now = System.nanoTime();
        MemberRepair repair = new MemberRepair(body.node(), now);
        repairStep(repair, now + REPAIR_WAIT_NANOS, answer);
        return answer;
    }

    private void repairStep(
            MemberRepair repair, long deadline, CompletableFuture<OperatorAnswer> answer) {
        loop.run(
                () -> {
                    long now = System.nanoTime();
                    if (!loop.ready()) {
                        answer.complete(notLeader());
                        return;
                    }
                    MemberRepair.Step step = repair.next(loop.log().status(now));
                    if (step instanceof MemberRepair.Done done) {
                        String message =
                                done.id()
                                        + " is a voter that holds all committed entries; another"
                                        + " member may be lost now";
                        answer.complete(OperatorAnswer.done(message, null));
                        return;
                    }
                    if (step instanceof MemberRepair.Change change) {
                        loop.log()
                                .change(change.change(), now)
                                .peek(p -> p.actions().forEach(loop::perform));
                    }
                    if (now - deadline > 0) {
                        String reason =
                                step instanceof MemberRepair.Wait wait
                                        ? wait.reason()
                                        : "a membership change is in progress";
                        answer.complete(
                                new OperatorAnswer(
                                        "pending",
                                        "NOT_REPAIRED",
                                        "not repaired yet: " + reason + "; ask again",
                                        null,
                                        null));
                        return;
                    }
                    later(() -> repairStep(repair, deadline, answer));
                });
    }

    private CompletionStage<OperatorAnswer> request(
            String operationId,
            String operator,
            Function<OperatorRequest.Operation, OperatorRequest> request,
            Function<CommandResult, CompletionStage<OperatorAnswer>> decided) {
        if (operator == null || operator.isBlank()) {
            return refused("state operator, the name of who asks for the change");
        }
        String id = operationId == null ? UUID.randomUUID().toString() : operationId;
        OperatorRequest.Operation operation =
                new OperatorRequest.Operation(id, operator, System.currentTimeMillis());
        CompletableFuture<org.ragwortmoor.coordination.control.OperatorAnswer> answer =
                new CompletableFuture<>();
        loop.request(request.apply(operation), answer::complete);
        return answer.thenCompose(a -> translate(a, decided));
    }

    private CompletionStage<OperatorAnswer> translate(
            org.ragwortmoor.coordination.control.OperatorAnswer answer,
            Function<CommandResult, CompletionStage<OperatorAnswer>> decided) {
        CommandResult result = answer.result();
        return switch (answer.kind()) {
            case NOT_READY -> CompletableFuture.completedFuture(notLeader());
            case INVALID ->
                    CompletableFuture.completedFuture(
                            OperatorAnswer.notRun("INVALID", result.message()));
            case UNKNOWN ->
                    CompletableFuture.completedFuture(
                            new OperatorAnswer("unknown", "UNKNOWN", result.message(), null, null));
            case DECIDED -> decided.apply(result);
        };
    }

    private static CompletionStage<OperatorAnswer> completed(CommandResult result) {
        return CompletableFuture.completedFuture(
                switch (result.outcome()) {
                    case CONFLICT -> OperatorAnswer.notRun("CONFLICT", result.message());
                    case REFUSED -> OperatorAnswer.notRun("REFUSED", result.message());
                    default -> OperatorAnswer.done(result.message(), null);
                });
    }

    /** An operator wants to know when the file is in force, not only that it was recorded. */
    private CompletionStage<OperatorAnswer> awaitInForce(CommandResult result) {
        if (!result.changed()) {
            return completed(result);
        }
        CompletableFuture<OperatorAnswer> answer = new CompletableFuture<>();
        pollInForce(result, System.nanoTime() + IN_FORCE_WAIT_NANOS, answer);
        return answer;
    }

    private void pollInForce(
            CommandResult result, long deadline, CompletableFuture<OperatorAnswer> answer) {
        loop.run(
                () -> {
                    long version = result.value();
                    RuleHistory rules = loop.machine().state().rules();
                    if (rules.inForce() >= version) {
                        String message = "version " + version + " is in force on every proxy";
                        answer.complete(OperatorAnswer.done(message, Map.of("version", version)));
                    } else if (System.nanoTime() - deadline > 0 || !loop.ready()) {
                        answer.complete(notYet(version, rules));
                    } else {
                        later(() -> pollInForce(result, deadline, answer));
                    }
                });
    }

    private OperatorAnswer notYet(long version, RuleHistory rules) {
        ControlDump dump = loop.machine().core().dump();
        boolean pending = rules.pending().exists(p -> p.version() == version);
        String message =
                pending
                        ? "version "
                                + version
                                + " widens the scopes and waits until these proxies have prepared"
                                + " it: "
                                + dump.waitingFor()
                                + "; remove stopped ones with ragwortmoor proxies remove"
                        : "version "
                                + version
                                + " is accepted; not yet known to be in force on "
                                + dump.notInForceOn();
        return new OperatorAnswer(
                "pending", "NOT_IN_FORCE", message, null, Map.of("version", version));
    }

    private void later(Runnable task) {
        timer.schedule(task, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private OperatorAnswer notLeader() {
        String leader =
                Option.of(loop.log().leader().getOrNull())
                        .map(id -> httpAddresses.get(id.node()))
                        .getOrNull();
        return OperatorAnswer.notLeader(leader);
    }

    private OperatorAnswer onLoop(java.util.function.Supplier<OperatorAnswer> task) {
        CompletableFuture<OperatorAnswer> answer = new CompletableFuture<>();
        loop.run(() -> answer.complete(loop.ready() ? task.get() : notLeader()));
        return answer.orTimeout(5, TimeUnit.SECONDS)
                .exceptionally(
                        e ->
                                OperatorAnswer.notRun(
                                        "NO_QUORUM",
                                        "this control process is busy; ask another one"))
                .join();
    }

    private static CompletionStage<OperatorAnswer> refused(String message) {
        return CompletableFuture.completedFuture(OperatorAnswer.notRun("INVALID", message));
    }
}
