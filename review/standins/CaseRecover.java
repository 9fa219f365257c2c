import java.io.IOException;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.atomic.*;

/**
 * A service with sync_replicas 1, whose primary was promoted before. All processes of the system are
 * killed, and the primary crashes at the same moment; all are back within a second.
 */
final class CaseRecover {
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
            Heartbeats.start(group.add("i-" + i, all.zones[i - 1], all.nextServerAddress(), i == 2), 1200);
        }
        all.putConfiguration(Configurations.of(1, 1));
        all.awaitReady();
        AtomicBoolean stop = new AtomicBoolean();
        List<Asked> asked = Collections.synchronizedList(new ArrayList<>());
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int number = i;
            Thread writer = Standins.daemon(() -> write(all, number, stop, asked));
            writers.add(writer);
            writer.start();
        }
        Thread.sleep(2000);
        // Planned work, long before the final fault: the primary i-2 leaves, and another one leads.
        record.line("i-2 reports that it is draining, and ends 7 s after the acknowledgement");
        Group.Server first = group.server("i-2");
        first.draining = true;
        first.beatSoon();
        while (first.drainAcknowledgedAt == 0) {
            Thread.sleep(20);
        }
        Thread.sleep(7000);
        first.crash();
        record.line("i-2 has ended; it starts anew with its log");
        Thread.sleep(500);
        first.restart();
        Thread.sleep(7000);
        long finalFault = System.nanoTime();
        if (Standins.trouble()) {
            Group.Server primary = group.primary();
            boolean crash = !"0".equals(System.getenv("CRASH"));
            record.line("final fault: all processes of the system are killed"
                    + (crash ? "; the primary " + primary.id + " crashes" : ""));
            if (crash) {
                primary.crash();
            }
            all.killAll();
            Thread.sleep(800);
            all.restartAll();
            if (crash) {
                primary.restart();
            }
            record.line("all processes are started again" + (crash ? ", and " + primary.id : ""));
        }
        long back = System.nanoTime();
        Thread.sleep(RECOVERY_MILLIS + 10_000);
        stop.set(true);
        for (Thread writer : writers) {
            writer.join(7000);
        }
        for (int i = 1; i <= 3; i++) {
            all.quoteLog("directory-" + i, "event=promotion_ordered", "event=promotion_call", "event=promoted");
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

    private static void write(
            Standins all, int number, AtomicBoolean stop, List<Asked> asked) {
        Client client = null;
        for (int i = 1; !stop.get(); i++) {
            long sentAt = System.nanoTime();
            try {
                if (client == null) {
                    client = new Client("w" + number + "x" + i, all.fronts.get(number % 3), "bookings", all.record);
                }
                asked.add(new Asked(sentAt, client.ask("WRITE w" + number + "i" + i + " booked").ok()));
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
