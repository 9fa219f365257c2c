package org.ragwortmoor.handback;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.daemon.Caller;

/** A session that puts records until the rules forbid it, and records what was acknowledged. */
final class RecordingWriter implements AutoCloseable {
    private static final int KEYS = 90;

    private final List<String> proxies;
    private final String group;
    private final String principal;
    private final String prefix;
    private final Map<String, String> acknowledged = new TreeMap<>();
    private final Map<String, Set<String>> uncertain = new TreeMap<>();
    private final CountDownLatch refused = new CountDownLatch(1);
    private final Thread thread;
    private volatile boolean stopped;
    private volatile int writes;

    RecordingWriter(List<String> proxies, String group, String principal, String prefix) {
        this.proxies = proxies;
        this.group = group;
        this.principal = principal;
        this.prefix = prefix;
        this.thread = new Thread(this::run, "writer-" + principal);
        thread.start();
    }

    private void run() {
        String token = Caller.session(proxies.get(0), principal);
        for (int i = 0; !stopped; i++) {
            String key = prefix + "%04d".formatted(i * 7 % KEYS);
            String value = "v" + i;
            String body =
                    ("{'token':'%s','group':'%s','operations':"
                                    + "[{'op':'put','key':'%s','value':'%s'}]}")
                            .formatted(token, group, key, value);
            JsonNode answer = Caller.post(proxies.get(i % proxies.size()), "/v1/write", body);
            token = answer.path("token").asText(token);
            if (answer.path("error").path("kind").asText().equals("FORBIDDEN")) {
                refused.countDown();
                return;
            }
            record(key, value, answer.path("outcome").asText());
        }
    }

    private synchronized void record(String key, String value, String outcome) {
        if (outcome.equals("done")) {
            acknowledged.put(key, value);
            writes = writes + 1;
        } else if (!outcome.equals("not-run")) {
            uncertain.computeIfAbsent(key, k -> new HashSet<>()).add(value);
        }
    }

    /** Returns the last acknowledged value of each key. */
    synchronized Map<String, String> acknowledged() {
        return Map.copyOf(acknowledged);
    }

    int writes() {
        return writes;
    }

    void awaitRefusal(Duration limit) throws InterruptedException {
        assertThat(refused.await(limit.toSeconds(), TimeUnit.SECONDS))
                .as("the rules refuse the writer")
                .isTrue();
    }

    /** Fails unless the records are those acknowledged, but for writes of unknown outcome. */
    synchronized void check(Map<String, String> records) {
        Map<String, String> certain = new TreeMap<>(records);
        Map<String, String> expected = new TreeMap<>(acknowledged);
        for (Map.Entry<String, Set<String>> entry : uncertain.entrySet()) {
            if (entry.getValue().contains(certain.get(entry.getKey()))) {
                certain.remove(entry.getKey());
                expected.remove(entry.getKey());
            }
        }
        assertThat(certain).containsExactlyEntriesOf(expected);
    }

    @Override
    public void close() throws InterruptedException {
        stopped = true;
        thread.join();
    }
}
