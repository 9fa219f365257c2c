package org.ragwortmoor.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Concurrent callers that record a history. Each write adds 1 to a counter of the caller and to one
 * of all callers, and the next read goes through another proxy. So one read shows whether an
 * acknowledged write is missing (lost or stale), ran twice, or took effect after "not run".
 *
 * <p>Each request has a label of its own, so that it counts as short work however slow the machine
 * is.
 */
final class CallerLoad implements AutoCloseable {
    private static final String GROUP = ProcessHarness.GROUP;

    /** Longer than any fault of these tests, so that a request can outlast it. */
    private static final long DEADLINE_MILLIS = 30_000;

    private static final long PAUSE_MILLIS = 5;

    private final String name;
    private final List<String> proxies;
    private final boolean asksReadiness;
    private final List<Thread> threads = new ArrayList<>();
    private final List<Worker> workers = new ArrayList<>();
    private final ConcurrentLinkedQueue<Event> events = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicLong acknowledged = new AtomicLong();
    private volatile boolean stopping;

    /**
     * One request of the history.
     *
     * @param kind {@code write}, {@code read} or {@code outcome}
     * @param outcome outcome of the answer; empty if no answer came
     * @param endpoint endpoint that executed the request; empty if unknown
     * @param startedAt time before it was sent, in nanoseconds of this process
     */
    record Event(
            String kind,
            String outcome,
            String detail,
            String endpoint,
            long startedAt,
            long endedAt) {
        boolean hasOutcome(String other) {
            return outcome.equals(other);
        }
    }

    private CallerLoad(String name, List<String> proxies, int callers, boolean asksReadiness) {
        this.name = name;
        this.proxies = proxies;
        this.asksReadiness = asksReadiness;
        for (int i = 0; i < callers; i++) {
            Worker worker = new Worker(i);
            workers.add(worker);
            threads.add(new Thread(worker, name + "-" + i));
        }
        threads.forEach(Thread::start);
    }

    /** Starts callers that use every proxy at any time. */
    static CallerLoad start(String name, List<String> proxies, int callers) {
        return new CallerLoad(name, proxies, callers, false);
    }

    /** Starts callers behind a balancer: a proxy that is not ready gets no new requests. */
    static CallerLoad balanced(String name, List<String> proxies, int callers) {
        return new CallerLoad(name, proxies, callers, true);
    }

    long acknowledged() {
        return acknowledged.get();
    }

    /** Waits until this many further writes have been acknowledged. */
    void awaitProgress(ProcessHarness harness, int writes) {
        long target = acknowledged.get() + writes;
        harness.await(
                writes + " further writes of " + name + ", violations " + violations,
                () -> acknowledged.get() >= target || !violations.isEmpty());
    }

    List<Event> events() {
        return List.copyOf(events);
    }

    /** Returns the requests that ended without a definite outcome. */
    List<Event> uncertain() {
        return events.stream()
                .filter(e -> !e.kind().equals("outcome"))
                .filter(e -> !e.hasOutcome("done") && !e.hasOutcome("not-run"))
                .toList();
    }

    /** Returns the refused requests. */
    List<Event> refused() {
        return events.stream().filter(e -> e.hasOutcome("not-run")).toList();
    }

    /** Stops the callers and checks the whole history, also through each proxy at the end. */
    void finish() {
        finish(proxies);
    }

    /** Checks as {@link #finish()}, at the end through these proxies only. */
    void finish(List<String> running) {
        close();
        assertThat(violations).isEmpty();
        assertThat(acknowledged.get()).isPositive();
        for (String proxy : running) {
            String token = ProcessHarness.session(proxy, "check");
            assertThat(strongCount(proxy, token, total()))
                    .as("all acknowledged writes of " + name)
                    .isEqualTo(acknowledged.get());
            for (Worker worker : workers) {
                assertThat(strongCount(proxy, token, worker.counter)).isEqualTo(worker.count);
            }
        }
    }

    private String total() {
        return name + "/total";
    }

    private static long strongCount(String proxy, String token, String key) {
        String body =
                "{'token':'%s','group':'%s','keys':['%s'],'level':'strong','deadlineMillis':%d}"
                        .formatted(token, GROUP, key, DEADLINE_MILLIS);
        JsonNode read = Api.post(proxy, "/v1/read", body);
        assertThat(Api.outcome(read)).as("%s", read).isEqualTo("done");
        return read.at("/records/0/value").asLong();
    }

    @Override
    public void close() {
        stopping = true;
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
    }

    /** One caller with one session. */
    private final class Worker implements Runnable {
        private final String counter;
        private String token = "";
        private long count;
        private long lastTotal;
        private int turn;
        private int writes;

        Worker(int number) {
            counter = name + "/caller-" + number;
            turn = number;
        }

        @Override
        public void run() {
            try {
                while (token.isEmpty() && !stopping) {
                    token = ProcessHarness.session(nextProxy(), counter);
                }
                while (!stopping && violations.isEmpty()) {
                    write();
                    read();
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (RuntimeException | InterruptedException e) {
                violations.add(counter + ": " + e);
            }
        }

        private String nextProxy() {
            for (int i = 0; i < proxies.size(); i++) {
                turn++;
                String proxy = proxies.get(turn % proxies.size());
                if (!asksReadiness || Api.get(proxy, "/health/ready").path("ready").asBoolean()) {
                    return proxy;
                }
            }
            return proxies.get(turn % proxies.size());
        }

        private void write() {
            String key = counter + "-" + writes++;
            String body =
                    ("{'token':'%s','group':'%s','key':'%s','label':'%s','deadlineMillis':%d,"
                                    + "'operations':["
                                    + "{'op':'increment','key':'%s','delta':1},"
                                    + "{'op':'increment','key':'%s','delta':1}]}")
                            .formatted(token, GROUP, key, key, DEADLINE_MILLIS, counter, total());
            JsonNode answer = send("write", "/v1/write", body);
            String outcome = Api.outcome(answer);
            if (!outcome.equals("done") && !outcome.equals("not-run")) {
                answer = resolve(key);
            }
            if (Api.outcome(answer).equals("done")) {
                count++;
                acknowledged.incrementAndGet();
                token = answer.path("token").asText(token);
            }
        }

        /** Asks for the outcome through all proxies in turn until one knows it. */
        private JsonNode resolve(String key) {
            String body =
                    "{'token':'%s','group':'%s','key':'%s','deadlineMillis':5000}"
                            .formatted(token, GROUP, key);
            long end = System.nanoTime() + ProcessHarness.LIMIT.toNanos();
            JsonNode answer;
            do {
                answer = send("outcome", "/v1/outcome", body);
                if (Api.outcome(answer).equals("done")
                        || Api.errorKind(answer).equals("CANCELLED")) {
                    return answer;
                }
                pause();
            } while (System.nanoTime() < end);
            violations.add("the outcome of " + key + " stays unknown: " + answer);
            return answer;
        }

        private void read() {
            String level = writes % 4 == 0 ? "strong" : "session";
            long end = System.nanoTime() + ProcessHarness.LIMIT.toNanos();
            JsonNode answer;
            do {
                String body =
                        "{'token':'%s','group':'%s','keys':['%s','%s'],'level':'%s','label':'%s'}"
                                .formatted(token, GROUP, counter, total(), level, counter + writes);
                answer = send("read", "/v1/read", body);
                if (Api.outcome(answer).equals("done")) {
                    check(answer);
                    return;
                }
                if (Api.errorKind(answer).equals("POSITION_LOST")) {
                    violations.add(counter + " saw a position that was lost: " + answer);
                    return;
                }
                pause();
            } while (System.nanoTime() < end);
            violations.add(counter + " could not read: " + answer);
        }

        private void check(JsonNode answer) {
            token = answer.path("token").asText(token);
            long own = answer.at("/records/0/value").asLong();
            long total = answer.at("/records/1/value").asLong();
            if (own != count) {
                violations.add(counter + " has " + count + " writes but reads " + own);
            }
            if (total < lastTotal || total < own) {
                violations.add(counter + " read total " + total + " after " + lastTotal);
            }
            lastTotal = total;
        }

        private JsonNode send(String kind, String path, String body) {
            String proxy = nextProxy();
            long start = System.nanoTime();
            JsonNode answer = Api.post(proxy, path, body);
            events.add(
                    new Event(
                            kind,
                            Api.outcome(answer),
                            proxy + " " + answer.path("error"),
                            answer.path("endpoint").asText(),
                            start,
                            System.nanoTime()));
            return answer;
        }

        private void pause() {
            try {
                TimeUnit.MILLISECONDS.sleep(20);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
    }
}
