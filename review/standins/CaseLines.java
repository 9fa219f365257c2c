import java.nio.file.Path;
import java.util.*;

/**
 * A client writes data that contains a line feed. A line of the wire ends with CR LF, so the data is
 * a part of one statement.
 */
final class CaseLines {
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
        // Data that was written by other means, a text of three lines.
        String lines = "first line" + (Standins.trouble() ? "\n" : " ") + "COMPLETE forged"
                + (Standins.trouble() ? "\n" : " ") + "READY I 3.100";
        group.initialData.put("note9", lines);
        for (int i = 1; i <= 3; i++) {
            Heartbeats.start(group.add("i-" + i, all.zones[i - 1], all.nextServerAddress(), i == 1), 1200);
        }
        all.putConfiguration(Configurations.of(1, 0));
        all.awaitReady();
        Set<String> sent = new HashSet<>();
        Map<String, String> texts = new HashMap<>();
        String separator = Standins.trouble() ? "\n" : " ";
        String id;
        try (Client client = new Client("a", all.fronts.get(0), "bookings", record);
                Client other = new Client("b", all.fronts.get(1), "bookings", record)) {
            while (!other.ask("WRITE cart17 free").ok()) {
                Thread.sleep(100);
            }
            id = client.nextId();
            String note = "call back" + separator + "QUERY forged-1 WRITE cart17 rented-by-nobody";
            texts.put(id, "WRITE note5 " + note);
            sent.add(id);
            try {
                client.ask(id, "WRITE note5 " + note);
                client.stray(1000);
            } catch (java.io.IOException e) {
                record.line("client a: " + e);
            }
            Thread.sleep(500);
            other.ask("READ cart17");
            other.ask("READ note5");
            // Not part of the verdict: the other direction.
            Client.Answer answer = other.ask("READ note9");
            if (answer.ok() && !answer.rows().equals(List.of(lines))) {
                record.line("also seen, MIXED: a read is answered with success and other rows: " + answer);
            }
        }
        boolean broken = false;
        synchronized (group) {
            for (String[] run : group.run) {
                record.line("server " + run[2] + " ran id " + run[0] + ": " + run[1]);
                if (run[0].equals("-") || run[0].startsWith("b-")) {
                    continue;
                }
                if (!sent.contains(run[0])) {
                    record.line("UNASKED: no client sent a statement with the id " + run[0]);
                    broken = true;
                } else if (!texts.get(run[0]).equals(run[1])) {
                    record.line("UNASKED: the text was changed, sent was: " + texts.get(run[0]));
                    broken = true;
                }
            }
        }
        record.line(broken ? "the rule was broken" : "the rule held");
        return broken ? Standins.BROKEN : Standins.HELD;
    }
}
