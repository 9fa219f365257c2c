package org.ragwortmoor.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.ragwortmoor.coordination.engine.ReadLevel;
import org.ragwortmoor.history.Access;
import org.ragwortmoor.history.Answer;
import org.ragwortmoor.history.HistoryRecord;
import org.ragwortmoor.history.HistoryRecorder;
import org.ragwortmoor.history.Outcome;
import org.ragwortmoor.history.Request;
import org.ragwortmoor.history.RequestKind;
import org.ragwortmoor.settings.Address;

/**
 * Sends a workload at its scheduled times, whether or not earlier requests have been answered, and
 * ends with the strong reads that the history check needs.
 */
public final class LoadRunner {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long FINAL_DEADLINE_MILLIS = 5_000;
    private static final long FINAL_WAIT_SECONDS = 30;

    /** An answer with this many records stays far below the limits of the API. */
    private static final int FINAL_KEYS = 100;

    private final Workload workload;
    private final LoadTarget target;
    private final PrintStream progress;
    private final HistoryRecorder history = new HistoryRecorder(System::nanoTime);
    private final List<Sample> samples = new ArrayList<>();
    private final AtomicInteger planned = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger done = new AtomicInteger();
    private long start;

    /**
     * What a run left behind.
     *
     * @param samples one sample per planned request, in the order of their answers
     * @param history history with the final reads
     * @param faults faults that were switched, as {@code MILLIS TEXT}
     */
    public record Run(List<Sample> samples, List<HistoryRecord> history, List<String> faults) {}

    private LoadRunner(Workload workload, LoadTarget target, PrintStream progress) {
        this.workload = workload;
        this.target = target;
        this.progress = progress;
    }

    /** Runs a load to its end. */
    public static Run run(
            Workload workload, List<FaultPlan> faults, LoadTarget target, PrintStream progress) {
        return new LoadRunner(workload, target, progress).run(faults);
    }

    private Run run(List<FaultPlan> plans) {
        try (HttpCaller http = new HttpCaller()) {
            Exchange.Callers callers =
                    new Exchange.Callers(
                            http, target.proxies(), history, workload.deadlineMillis());
            SessionPool sessions = new SessionPool(workload.prefix(), workload.sessions());
            openAll(callers, sessions);
            start = System.nanoTime();
            List<FaultRunner.Event> events;
            try (FaultRunner faults = new FaultRunner(target, plans, start)) {
                dispatch(callers, sessions);
                events = faults.events();
            }
            CompletableFuture.runAsync(() -> {}, http.loop()).join();
            finalReads(callers);
            List<Sample> all =
                    CompletableFuture.supplyAsync(() -> List.copyOf(samples), http.loop()).join();
            return new Run(
                    all,
                    history.records(),
                    events.stream()
                            .map(e -> TimeUnit.NANOSECONDS.toMillis(e.atNanos()) + " " + e.text())
                            .toList());
        }
    }

    /** Opens the sessions before the load, so that opening does not count as its latency. */
    private void openAll(Exchange.Callers callers, SessionPool sessions) {
        List<CompletableFuture<Void>> opened = new ArrayList<>();
        for (int i = 0; i < workload.sessions(); i++) {
            Address proxy = callers.proxies().get(i % callers.proxies().size());
            CompletableFuture<Void> end = new CompletableFuture<>();
            opened.add(end);
            callers.http()
                    .loop()
                    .execute(
                            () -> {
                                LoadSession session = sessions.take();
                                sessions.giveBack(session);
                                ObjectNode body =
                                        JSON.createObjectNode()
                                                .put("principal", "load-" + session.name());
                                callers.http()
                                        .post(
                                                proxy,
                                                "/v1/sessions",
                                                body,
                                                FINAL_DEADLINE_MILLIS,
                                                reply -> {
                                                    reply.peek(
                                                            a ->
                                                                    session.token(
                                                                            a.path("token")
                                                                                    .asText()));
                                                    end.complete(null);
                                                });
                            });
        }
        opened.forEach(CompletableFuture::join);
    }

    private void dispatch(Exchange.Callers callers, SessionPool sessions) {
        WorkloadGenerator generator =
                new WorkloadGenerator(workload, target.groups(), target.proxies().size());
        long report = start;
        while (generator.hasNext()) {
            PlannedRequest request = generator.next();
            long due = start + request.atNanos();
            while (System.nanoTime() < due) {
                report = report(report);
                long wait = Math.min(due, report + TimeUnit.SECONDS.toNanos(1)) - System.nanoTime();
                if (wait > 0) {
                    LockSupport.parkNanos(wait);
                }
            }
            planned.incrementAndGet();
            callers.http().loop().execute(() -> send(callers, sessions, request));
        }
        while (answered.get() < planned.get()) {
            report = report(report);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
    }

    private void send(Exchange.Callers callers, SessionPool sessions, PlannedRequest request) {
        LoadSession session = sessions.take();
        long sent = System.nanoTime();
        new Exchange(
                        callers,
                        request,
                        session,
                        result -> {
                            ended(request, sent, result);
                            if (result.sessionUsable()) {
                                sessions.giveBack(session);
                            } else {
                                sessions.replace();
                            }
                        })
                .start();
    }

    private void ended(PlannedRequest request, long sent, Exchange.Result result) {
        Answer first = result.first();
        samples.add(
                new Sample(
                        request.atNanos(),
                        sent - start,
                        System.nanoTime() - start,
                        request.kind(),
                        request.group(),
                        request.label(),
                        request.serviceMicros(),
                        result.outcome(),
                        first.error() == null ? "" : first.error(),
                        first.replica(),
                        first.outcome()));
        if (result.outcome() == Outcome.DONE) {
            done.incrementAndGet();
        }
        answered.incrementAndGet();
    }

    private long report(long last) {
        long now = System.nanoTime();
        if (now - last < TimeUnit.SECONDS.toNanos(1)) {
            return last;
        }
        int sent = planned.get();
        int ended = answered.get();
        progress.printf(
                "%4d s: %d sent, %d done, %d refused or unknown, %d in flight%n",
                TimeUnit.NANOSECONDS.toSeconds(now - start),
                sent,
                done.get(),
                ended - done.get(),
                sent - ended);
        return now;
    }

    private void finalReads(Exchange.Callers callers) {
        Map<String, Set<String>> keys = new TreeMap<>();
        for (HistoryRecord record : history.records()) {
            for (Access access : record.request().operations()) {
                keys.computeIfAbsent(record.request().group(), g -> new LinkedHashSet<>())
                        .add(access.key());
            }
        }
        keys.forEach(
                (group, names) -> {
                    List<String> all = List.copyOf(names);
                    for (int i = 0; i < all.size(); i += FINAL_KEYS) {
                        finalRead(
                                callers,
                                group,
                                all.subList(i, Math.min(all.size(), i + FINAL_KEYS)));
                    }
                });
    }

    /** Reads until an answer comes; a failover or an overload may still be under way. */
    private void finalRead(Exchange.Callers callers, String group, List<String> keys) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(FINAL_WAIT_SECONDS);
        for (int i = 0; System.nanoTime() < deadline; i++) {
            Address proxy = callers.proxies().get(i % callers.proxies().size());
            if (finalRead(callers, proxy, group, keys)) {
                return;
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        }
        progress.println("no answer to the final read of " + keys.size() + " keys of " + group);
    }

    private boolean finalRead(
            Exchange.Callers callers, Address proxy, String group, List<String> keys) {
        String token =
                call(callers, proxy, "/v1/sessions", JSON.createObjectNode().put("principal", "f"))
                        .path("token")
                        .asText();
        ObjectNode body =
                JSON.createObjectNode()
                        .put("token", token)
                        .put("group", group)
                        .put("level", "strong")
                        .put("deadlineMillis", FINAL_DEADLINE_MILLIS);
        keys.forEach(body.withArray("keys")::add);
        Request request =
                new Request(
                        "final",
                        "load",
                        proxy.toString(),
                        RequestKind.FINAL,
                        group,
                        keys.stream().map(Access::get).toList(),
                        null,
                        false,
                        ReadLevel.STRONG,
                        0);
        long id = history.invoke(request);
        JsonNode answer = call(callers, proxy, "/v1/read", body);
        boolean ok = answer.path("outcome").asText().equals("done");
        history.answer(
                id,
                ok
                        ? Answer.done(
                                Exchange.records(answer), answer.path("position").asText(), null)
                        : Answer.of(Outcome.NOT_RUN, "NOT_ANSWERED"));
        return ok;
    }

    private static JsonNode call(
            Exchange.Callers callers, Address proxy, String path, ObjectNode body) {
        CompletableFuture<JsonNode> end = new CompletableFuture<>();
        callers.http()
                .loop()
                .execute(
                        () ->
                                callers.http()
                                        .post(
                                                proxy,
                                                path,
                                                body,
                                                FINAL_DEADLINE_MILLIS,
                                                reply ->
                                                        end.complete(
                                                                reply.getOrElse(
                                                                        JSON.createObjectNode()))));
        return end.join();
    }
}
