package org.ragwortmoor.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.ragwortmoor.cli.ApiResult;
import org.ragwortmoor.daemon.EmbeddedDeployment;
import org.ragwortmoor.settings.Address;
import org.ragwortmoor.standin.FaultSwitch;

/** Runs sessions against a deployment, provokes failures and checks the promises. */
public final class Demo {
    private static final int SESSIONS = 20;
    private static final long READY_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long LEAVING_MILLIS = 3_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final EmbeddedDeployment deployment;
    private final String group;
    private final List<DemoResult> results = new ArrayList<>();

    /**
     * Creates a demonstration.
     *
     * @param deployment running deployment
     * @param group group that the sessions use
     */
    public Demo(EmbeddedDeployment deployment, String group) {
        this.deployment = deployment;
        this.group = group;
    }

    /** Runs all steps and returns what they saw. */
    public List<DemoResult> run() {
        awaitReady();
        rulesInForce();
        roamingSessions();
        transactionsDoNotMix();
        notRepeatableRunsOnce();
        primaryLost();
        leavingEndpoint();
        plannedStop();
        return List.copyOf(results);
    }

    private void awaitReady() {
        for (String proxy : proxies()) {
            DemoCaller caller = new DemoCaller(group);
            until(
                    () ->
                            caller.open(proxy, "desk-probe")
                                    && DemoCaller.done(caller.put(proxy, "probe", "1")));
        }
    }

    private void rulesInForce() {
        String text =
                """
                scope %1$s lease/ # requested by Registry of the court: order 114
                partner golfsur %1$s lease/golfsur/ # requested by Registry of the court: order 114
                allow read session=court-* partner=golfsur # requested by M. Rojas: inspection
                age %1$s position/ 5s # requested by Fleet desk: map on the tablets
                """
                        .formatted(group);
        long start = System.nanoTime();
        ApiResult applied =
                DemoClients.of(controls(), TIMEOUT)
                        .post(
                                "/v1/rules",
                                JSON.createObjectNode()
                                        .put("text", text)
                                        .put("expectVersion", 0)
                                        .put("operator", "demo")
                                        .put("operationId", "demo-1"));
        long millis = millisSince(start);
        DemoCaller desk = new DemoCaller(group);
        String proxy = proxies().get(1);
        desk.open(proxy, "desk-2");
        JsonNode refused = desk.read(proxy, "lease/golfsur/7");
        DemoCaller court = new DemoCaller(group);
        court.open(proxy, "court-1");
        boolean held =
                applied.done()
                        && refused.path("error").path("kind").asText().equals("FORBIDDEN")
                        && DemoCaller.done(court.read(proxy, "lease/golfsur/7"));
        add(
                "an accepted rule file is in force on every proxy within seconds",
                held && millis < 3_000,
                "in force after "
                        + millis
                        + " ms; a desk session was refused: "
                        + refused.path("error").path("message").asText());
    }

    private void roamingSessions() {
        int own = 0;
        int replica = 0;
        List<String> proxies = proxies();
        for (int i = 0; i < SESSIONS; i++) {
            DemoCaller caller = new DemoCaller(group);
            String first = proxies.get(i % proxies.size());
            String second = proxies.get((i * 3 + 1) % proxies.size());
            caller.open(first, "desk-" + i);
            boolean written = DemoCaller.done(caller.put(first, "cart/" + i, "booking " + i));
            JsonNode read = caller.read(second, "cart/" + i);
            if (written && DemoCaller.value(read).contains("booking " + i)) {
                own++;
            }
            if (read.path("replica").asBoolean()) {
                replica++;
            }
        }
        add(
                "read-your-writes, through any proxy",
                own == SESSIONS,
                own
                        + " of "
                        + SESSIONS
                        + " sessions read their write through another proxy, "
                        + replica
                        + " of them from a replica");
    }

    private void transactionsDoNotMix() {
        String proxy = proxies().get(0);
        DemoCaller one = new DemoCaller(group);
        DemoCaller other = new DemoCaller(group);
        one.open(proxy, "desk-a");
        other.open(proxy, "desk-b");
        String first = one.begin(proxy);
        String second = other.begin(proxy);
        one.putWithin(proxy, first, "tx/one", "one");
        other.putWithin(proxy, second, "tx/other", "other");
        JsonNode foreign = other.putWithin(proxy, first, "tx/one", "mixed");
        boolean committed =
                DemoCaller.done(one.commit(proxy, first))
                        && DemoCaller.done(other.commit(proxy, second));
        boolean separate =
                DemoCaller.value(one.read(proxy, "tx/one")).contains("one")
                        && DemoCaller.value(one.read(proxy, "tx/other")).contains("other");
        add(
                "two transactions never mix",
                committed
                        && separate
                        && foreign.path("error")
                                .path("kind")
                                .asText()
                                .equals("FOREIGN_TRANSACTION"),
                "two open transactions committed separately; a statement of one session in the"
                        + " other's transaction was refused");
    }

    private void notRepeatableRunsOnce() {
        DemoCaller caller = new DemoCaller(group);
        caller.open(proxies().get(0), "desk-c");
        int duplicates = 0;
        for (String proxy : proxies()) {
            if (caller.increment(proxy, "counter", "swap-1").path("duplicate").asBoolean()) {
                duplicates++;
            }
        }
        String value = DemoCaller.value(caller.read(proxies().get(0), "counter")).getOrElse("none");
        add(
                "a write that may not be repeated runs at most once",
                value.equals("1"),
                "sent through "
                        + proxies().size()
                        + " proxies, recognised "
                        + duplicates
                        + " times, counter is "
                        + value);
    }

    private void primaryLost() {
        String primary = primary();
        DemoWriters writers = new DemoWriters(group, proxies());
        writers.start();
        sleep(500);
        deployment.killEndpoint(primary);
        sleep(3_000);
        writers.stop();
        int lost = writers.missing(proxies().get(0));
        add(
                "nothing acknowledged is lost and writes flow again within 2 s",
                lost == 0 && writers.longestGapMillis() < 2_000 && writers.acknowledged() > 0,
                primary
                        + " was ended under load; "
                        + writers.acknowledged()
                        + " writes acknowledged, "
                        + lost
                        + " lost, longest gap "
                        + writers.longestGapMillis()
                        + " ms, new primary "
                        + primary());
    }

    private void leavingEndpoint() {
        String primary = primary();
        String replica =
                deployment.runningEndpoints().stream()
                        .filter(e -> e.startsWith(group) && !e.equals(primary))
                        .findFirst()
                        .orElseThrow();
        deployment.endpoint(replica).apply(new FaultSwitch.Leaving(true)).join();
        sleep(LEAVING_MILLIS);
        DemoCaller caller = new DemoCaller(group);
        caller.open(proxies().get(0), "desk-d");
        int served = 0;
        for (int i = 0; i < 50; i++) {
            String proxy = proxies().get(i % proxies().size());
            JsonNode read = caller.read(proxy, "cart/1");
            if (read.path("endpoint").asText().equals(replica)) {
                served++;
            }
        }
        add(
                "an endpoint that is leaving gets no new work after 3 s",
                served == 0,
                replica + " announced that it leaves; it served " + served + " of 50 later reads");
    }

    private void plannedStop() {
        String name = "proxy-1";
        String address = proxies().get(0);
        DemoWriters writers = new DemoWriters(group, List.of(address));
        writers.start();
        sleep(300);
        deployment.proxies().get(name).drain();
        deployment.proxies().get(name).stopped().join();
        writers.stop();
        int lost = writers.missing(proxies().get(1));
        add(
                "a planned stop cuts no request in flight",
                lost == 0 && writers.unknown() == 0 && writers.broken() == 0,
                name
                        + " stopped under load; "
                        + writers.acknowledged()
                        + " writes acknowledged, "
                        + writers.refused()
                        + " refused as not run, "
                        + writers.unknown()
                        + " unknown, "
                        + writers.broken()
                        + " without an answer, "
                        + lost
                        + " lost");
    }

    private String primary() {
        for (String address : deployment.controlAddresses()) {
            JsonNode status =
                    DemoClients.of(List.of(Address.parse(address).get()), TIMEOUT)
                            .get("/v1/status")
                            .body();
            if (status.path("leads").asBoolean()) {
                for (JsonNode found : status.path("groups")) {
                    if (found.path("group").asText().equals(group)) {
                        return found.path("primary").asText();
                    }
                }
            }
        }
        return "";
    }

    private List<String> proxies() {
        return deployment.proxyAddresses();
    }

    private List<Address> controls() {
        return deployment.controlAddresses().stream().map(a -> Address.parse(a).get()).toList();
    }

    private void add(String promise, boolean held, String seen) {
        results.add(new DemoResult(promise, held, seen));
    }

    private static void until(BooleanSupplier condition) {
        long deadline = System.nanoTime() + READY_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException(
                        "the deployment was not ready within 30 s; run it on a less busy machine");
            }
            sleep(50);
        }
    }

    private static long millisSince(long start) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
