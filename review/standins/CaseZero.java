import java.io.IOException;
import java.nio.file.Path;
import java.util.*;

/** The operator numbers its configurations from 0. */
final class CaseZero {
    static final long APPLY_MILLIS = 3000;

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
        String configuration = Configurations.of(Standins.trouble() ? 0 : 1, 0);
        all.putConfiguration(configuration);
        Thread.sleep(APPLY_MILLIS + 1000);
        int found = 0;
        for (int i = 0; i < 20; i++) {
            var at = all.controls.get(i % all.controls.size());
            Http.Answer answer = Http.call(at, null, "GET", "/config/fetch", Map.of(), "", 1000);
            record.line("GET /config/fetch at " + Standins.text(at) + " -> " + answer.status()
                    + (answer.body().equals(configuration) ? ", what was acknowledged" : ""));
            found += answer.body().equals(configuration) ? 1 : 0;
            Thread.sleep(200);
        }
        int refused = 0;
        for (var front : all.fronts) {
            try (Client client = new Client("a", front, "bookings", record)) {
                client.ask("WRITE cart17 free");
            } catch (IOException e) {
                record.line("CONNECT bookings at " + Standins.text(front) + ": " + e.getMessage());
                refused++;
            }
        }
        boolean broken = found == 0;
        record.line("read back " + found + " of 20 times; " + refused + " of 2 sessions refused");
        record.line(broken ? "the rule was broken" : "the rule held");
        return broken ? Standins.BROKEN : Standins.HELD;
    }
}
