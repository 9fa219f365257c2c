import java.io.IOException;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.atomic.*;

/**
 * A service with sync_replicas 1 loses its primary while the platform is down. When the promotion was
 * ordered and called, all processes of the system are killed; they and the platform are back within a
 * second.
 */
final class CaseOrdered {
    static final long RECOVERY_MILLIS = 12_000;

    /** A request of a client. */
    record Asked(long sentAt, boolean served) {}

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
        AtomicBoolean stop = new AtomicBoolean();
        List<Asked> asked = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int number = i;
            Thread asking = Standins.daemon(() -> request(all, number, stop, asked));
            clients.add(asking);
            asking.start();
        }
        Thread.sleep(7000);
        long finalFault = System.nanoTime();
        if (Standins.trouble()) {
            if (!"0".equals(System.getenv("PLATFORM"))) {
                record.line("the platform is down");
                all.platform.down = true;
            }
            record.line("the primary i-1 crashes and is lost for good");
            finalFault = System.nanoTime();
            group.server("i-1").crash();
            while (!ordered(all)) {
                Thread.sleep(20);
            }
            Thread.sleep(700);
            record.line("final fault: all processes of the system are killed");
            all.killAll();
            Thread.sleep(800);
            record.line("the platform is back, and all processes are started again");
            all.platform.down = false;
            all.restartAll();
        }
        long back = System.nanoTime();
        Thread.sleep(RECOVERY_MILLIS + 10_000);
        stop.set(true);
        for (Thread asking : clients) {
            asking.join(7000);
        }
        for (int i = 1; i <= 3; i++) {
            all.quoteLog("directory-" + i, "event=promotion_ordered", "event=promotion_call");
        }
        for (Group.Server s : group.servers) {
            record.line("at the end: " + s.id + " " + s.status());
        }
        double before = share(asked, finalFault - 6_000_000_000L, finalFault - 1_000_000_000L);
        double after = share(asked, back + RECOVERY_MILLIS * 1_000_000, Long.MAX_VALUE);
        record.line(String.format("served before the final fault: %.2f; later than recovery_s after"
                + " the machines are back: %.2f", before, after));
        boolean broken = before >= 0.25 && after < 0.25;
        record.line(broken ? "the rule was broken" : "the rule held");
        return broken ? Standins.BROKEN : Standins.HELD;
    }

    private static boolean ordered(Standins all) throws IOException {
        for (int i = 1; i <= 3; i++) {
            if (all.log("directory-" + i).contains("event=promotion_ordered")) {
                return true;
            }
        }
        return false;
    }

    private static double share(List<Asked> asked, long from, long to) {
        int all = 0;
        int served = 0;
        synchronized (asked) {
            for (Asked a : asked) {
                if (a.sentAt - from >= 0 && (to == Long.MAX_VALUE || a.sentAt - to < 0)) {
                    all++;
                    served += a.served ? 1 : 0;
                }
            }
        }
        return all == 0 ? 0 : (double) served / all;
    }

    private static void request(
            Standins all, int number, AtomicBoolean stop, List<Asked> asked) {
        Client client = null;
        for (int i = 1; !stop.get(); i++) {
            long sentAt = System.nanoTime();
            try {
                if (client == null) {
                    String database = List.of("bookings", "upkeep", "tracking").get(number % 3);
                    client = new Client("w" + number + "x" + i, all.fronts.get(number % 3), database, all.record);
                }
                // One request in five writes, as on the site; tracking only reads.
                boolean writes = i % 5 == 0 && number % 3 != 2;
                String text = writes ? "WRITE w" + number + " booked" : "READ w" + number;
                asked.add(new Asked(sentAt, client.ask(text).ok()));
                Thread.sleep(50);
            } catch (IOException e) {
                asked.add(new Asked(sentAt, false));
                client = null;
                try {
                    Thread.sleep(100);
                } catch (InterruptedException stopped) {
                    return;
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
