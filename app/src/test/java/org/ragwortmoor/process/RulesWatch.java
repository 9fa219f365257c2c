package org.ragwortmoor.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Samples the rules version of running proxies and records each one that went back. */
final class RulesWatch implements AutoCloseable {
    private static final long PERIOD_MILLIS = 50;

    private final List<String> proxies;
    private final Queue<String> reverts = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::run, "rules-watch");
    private volatile boolean stopping;

    RulesWatch(List<String> proxies) {
        this.proxies = proxies;
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        long[] last = new long[proxies.size()];
        while (!stopping) {
            for (int i = 0; i < last.length; i++) {
                JsonNode version = Api.get(proxies.get(i), "/v1/status").path("rulesVersion");
                if (version.isNumber()) {
                    if (version.asLong() < last[i]) {
                        reverts.add(proxies.get(i) + ": " + version + " after " + last[i]);
                    }
                    last[i] = version.asLong();
                }
            }
            try {
                Thread.sleep(PERIOD_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    void check() {
        assertThat(reverts).as("rules versions that went back").isEmpty();
    }

    @Override
    public void close() {
        stopping = true;
        thread.interrupt();
    }
}
