import java.nio.file.Path;
import java.util.List;

/**
 * Another writer sends one heartbeat for each server, in which the service is one that no
 * configuration names. The servers themselves go on with their heartbeats, and must go on being used.
 */
final class OddService {
    private static final double WATCHED_SECONDS = 60;

    public static void main(String[] arguments) throws Exception {
        int code;
        try (Harness harness = new Harness(Path.of(arguments[0]), 3, 1);
                Group group = new Group(harness, 3)) {
            code = run(harness, group);
            harness.note("exit " + code);
        }
        System.exit(code);
    }

    private static int run(Harness harness, Group group) throws Exception {
        for (int i = 1; i <= 3; i++) {
            harness.startDirectory(i, true);
        }
        harness.startProxy(1);
        if (harness.order("version 1", Configs.of(1, 0), List.of(1, 2, 3), 20) < 0) {
            return Harness.NOT_RUN;
        }
        group.beat(List.of(harness.control(1), harness.control(2), harness.control(3)));
        for (int i = 0; !harness.ready(1); i++) {
            if (i > 100) {
                return Harness.NOT_RUN;
            }
            Harness.sleep(200);
        }
        Harness.sleep(6_000);
        if (work(harness, "before", 5) < 15) {
            return Harness.NOT_RUN;
        }
        if (Harness.trouble()) {
            for (String[] beat : group.heartbeats("kafi99z", 1_000_000)) {
                Harness.Answer answer =
                        harness.call(harness.control(1), "POST", beat[0], beat[1], 1000);
                harness.note("another writer sends " + beat[0] + " " + beat[1] + " -> "
                        + answer.status());
            }
        }
        int sent = 0;
        int served = 0;
        double from = harness.seconds();
        while (harness.seconds() - from < WATCHED_SECONDS) {
            served += work(harness, "w" + sent, 1);
            sent += 3;
            Harness.sleep(500);
        }
        harness.note("served " + served + " of " + sent + " requests");
        return (sent - served) * 10 > sent * 6 ? Harness.BROKEN : Harness.HELD;
    }

    /** Sends a write and two reads several times; returns how many were served. */
    private static int work(Harness harness, String name, int times) {
        int served = 0;
        try (Client writer = new Client(harness, name + "-writer");
                Client reader = new Client(harness, name + "-reader")) {
            if (!writer.connect(harness.front(1), "lepu270")
                    || !reader.connect(harness.front(1), "xapu221ny95")) {
                harness.note("client " + name + " gets no READY");
                return 0;
            }
            for (int i = 0; i < times; i++) {
                served += writer.query(name + "a" + i, "WRITE 1a4 x" + i, 1_500).success() ? 1 : 0;
                served += writer.query(name + "b" + i, "READ 1a4", 1_500).success() ? 1 : 0;
                served += reader.query(name + "c" + i, "READ 1a4", 3_500).success() ? 1 : 0;
            }
        }
        return served;
    }
}
