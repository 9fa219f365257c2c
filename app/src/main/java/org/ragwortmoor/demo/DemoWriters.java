package org.ragwortmoor.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that write without pause, remember what was acknowledged and look for it afterwards. */
final class DemoWriters {
    private static final int WRITERS = 4;

    private final String group;
    private final List<String> proxies;
    private final List<String> acknowledged = Collections.synchronizedList(new ArrayList<>());
    private final List<Long> acknowledgedAt = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unknown = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean running = true;

    DemoWriters(String group, List<String> proxies) {
        this.group = group;
        this.proxies = List.copyOf(proxies);
    }

    void start() {
        for (int i = 0; i < WRITERS; i++) {
            String name = "w" + i + "-" + System.nanoTime();
            Thread thread = new Thread(() -> write(name), name);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void write(String name) {
        DemoCaller caller = new DemoCaller(group);
        caller.open(proxies.get(0), "desk-" + name);
        for (int i = 0; running; i++) {
            String key = "load/" + name + "/" + i;
            JsonNode answer = caller.put(proxies.get(i % proxies.size()), key, "v");
            switch (answer.path("outcome").asText()) {
                case "done" -> {
                    acknowledged.add(key);
                    acknowledgedAt.add(System.nanoTime());
                }
                case "not-run" -> {
                    refused.incrementAndGet();
                    Demo.sleep(20);
                }
                case "unknown" -> unknown.incrementAndGet();
                default -> {
                    broken.incrementAndGet();
                    Demo.sleep(20);
                }
            }
        }
    }

    void stop() {
        running = false;
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Returns how many acknowledged writes a strong reader does not find. */
    int missing(String proxy) {
        DemoCaller reader = new DemoCaller(group);
        reader.open(proxy, "desk-reader");
        int missing = 0;
        for (String key : acknowledged) {
            if (!DemoCaller.value(reader.readStrong(proxy, key)).contains("v")) {
                missing++;
            }
        }
        return missing;
    }

    long longestGapMillis() {
        List<Long> times = new ArrayList<>(acknowledgedAt);
        Collections.sort(times);
        long longest = 0;
        for (int i = 1; i < times.size(); i++) {
            longest = Math.max(longest, times.get(i) - times.get(i - 1));
        }
        return TimeUnit.NANOSECONDS.toMillis(longest);
    }

    int acknowledged() {
        return acknowledged.size();
    }

    int refused() {
        return refused.get();
    }

    int unknown() {
        return unknown.get();
    }

    int broken() {
        return broken.get();
    }
}
