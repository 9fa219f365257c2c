import java.nio.file.Path;
import java.util.*;

/** A client writes and reads texts in ISO 8859-1, with letters that ASCII doesn't have. */
final class CaseBytes {
    public static void main(String[] arguments) throws Exception {
        int result = Standins.COULD_NOT_RUN;
        try (Standins all = new Standins(Path.of(arguments[0]), 3, 2)) {
            result = run(all);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Standins all) throws Exception {
        Record record = all.record;
        Group group = new Group("fleetdb1", 0, 600, record);
        all.platform.add(group);
        for (int i = 1; i <= 3; i++) {
            Heartbeats.start(group.add("i-" + i, all.zones[i - 1], all.nextServerAddress(), i == 1), 1200);
        }
        all.putConfiguration(Configurations.of(1, 0));
        all.awaitReady();
        String place = Standins.trouble() ? "\u00d1u\u00f1oa" : "Nunoa";
        Map<String, String> sent = new LinkedHashMap<>();
        try (Client client = new Client("a", all.fronts.get(0), "bookings", record);
                Client other = new Client("b", all.fronts.get(1), "bookings", record)) {
            while (!other.ask("WRITE cart17 free").ok()) {
                Thread.sleep(100);
            }
            for (String text : List.of("WRITE cart17 rented in " + place, "READ " + place)) {
                String id = client.nextId();
                sent.put(id, text);
                client.ask(id, text);
            }
            other.ask("READ cart17");
        }
        boolean broken = false;
        synchronized (group) {
            for (String[] run : group.run) {
                record.line("server " + run[2] + " ran id " + run[0] + ": " + run[1]);
                String text = sent.get(run[0]);
                if (text != null && !text.equals(run[1])) {
                    record.line("UNASKED: the text was changed, sent was: " + text);
                    broken = true;
                }
            }
        }
        record.line(broken ? "the rule was broken" : "the rule held");
        return broken ? Standins.BROKEN : Standins.HELD;
    }
}
