import java.io.IOException;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.atomic.*;

/**
 * A service with sync_replicas 1: one replica receives nothing for a while, the other one is
 * draining, and the primary crashes meanwhile.
 */
final class CaseSync {
    public static void main(String[] arguments) throws Exception {
        int result = Standins.COULD_NOT_RUN;
        try (Standins all = new Standins(Path.of(arguments[0]), 3, 3)) {
            result = run(all);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Standins all) throws Exception {
        Record record = all.record;
        Group group = new Group("fleetdb1", 1, 600, record);
        all.platform.add(group);
        for (int i = 1; i <= 3; i++) {
            Heartbeats.start(group.add("i-" + i, all.zones[i - 1], all.nextServerAddress(), i == 1), 1200);
        }
        all.putConfiguration(Configurations.of(1, 1));
        all.awaitReady();
        // Writers, one a proxy, 20 writes a second each.
        AtomicBoolean stop = new AtomicBoolean();
        Map<String, String> acknowledged = Collections.synchronizedMap(new LinkedHashMap<>());
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int number = i;
            Thread writer = Standins.daemon(() -> write(all, number, stop, acknowledged));
            writers.add(writer);
            writer.start();
        }
        Thread.sleep(3000);
        if (Standins.trouble()) {
            if (!"0".equals(System.getenv("DRAIN"))) {
                // Planned: the server i-3 leaves. It serves, receives and counts for drain_ms, 7 s.
                record.line("i-3 reports that it is draining");
                group.server("i-3").draining = true;
                group.server("i-3").beatSoon();
                while (group.server("i-3").drainAcknowledgedAt == 0) {
                    Thread.sleep(20);
                }
            }
            record.line("i-2 receives nothing from now on");
            group.server("i-2").deaf = true;
            Thread.sleep(2000);
            record.line("the primary i-1 crashes");
            group.server("i-1").crash();
            Thread.sleep(500);
            Thread.sleep(2500);
            record.line("i-2 receives again");
            group.server("i-2").deaf = false;
            group.replicate();
        }
        Thread.sleep(4000);
        stop.set(true);
        for (Thread writer : writers) {
            writer.join(7000);
        }
        for (int i = 1; i <= 3; i++) {
            all.quoteLog("directory-" + i, "event=promotion_ordered", "event=surveyed");
        }
        boolean broken;
        synchronized (group) {
            broken = !group.lostByPromotion.isEmpty();
            record.line(acknowledged.size() + " writes were acknowledged to clients; promotions: "
                    + group.promotions + "; acknowledged commits that a promoted server lacked: "
                    + group.lostByPromotion.size());
        }
        record.line(broken ? "the rule was broken" : "the rule held");
        return broken ? Standins.BROKEN : Standins.HELD;
    }

    private static void write(
            Standins all, int number, AtomicBoolean stop, Map<String, String> acknowledged) {
        Client client = null;
        for (int i = 1; !stop.get(); i++) {
            try {
                if (client == null) {
                    client = new Client("w" + number + "x" + i, all.fronts.get(number), "bookings", all.record);
                }
                String item = "w" + number + "i" + i;
                if (client.ask("WRITE " + item + " booked").ok()) {
                    acknowledged.put(item, "booked");
                }
                Thread.sleep(50);
            } catch (IOException e) {
                client = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
