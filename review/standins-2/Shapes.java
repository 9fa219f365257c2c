import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sessions prepare a statement, execute it and deallocate it. With the trouble every statement has a
 * shape of its own; without it they share a few. The platform starts a proxy that ends again, with
 * its settings, after a short delay.
 */
final class Shapes {
    private static final int PROXIES = 2;
    private static final int SESSIONS = 20;
    private static final int SHAPE_BYTES = 16_000;
    private static final double LOAD_SECONDS = 98;
    private static final int ENDS = 3;

    /** Time without one served request, of a process that runs and is asked, that is a hang. */
    private static final double HANG_SECONDS = 10;

    private static final double[] servedAt = new double[PROXIES + 1];

    private static volatile boolean done;

    public static void main(String[] arguments) throws Exception {
        int code;
        try (Harness harness = new Harness(Path.of(arguments[0]), 3, PROXIES);
                Group group = new Group(harness, 3)) {
            code = run(harness, group);
            harness.quiet = false;
            harness.note("exit " + code);
        }
        System.exit(code);
    }

    private static int run(Harness harness, Group group) throws Exception {
        List<String> controls = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            harness.startDirectory(i, true);
            controls.add(harness.control(i));
        }
        for (int i = 1; i <= PROXIES; i++) {
            harness.startProxy(i);
        }
        if (harness.order("version 1", Configs.of(1, 0), List.of(1, 2, 3), 20) < 0) {
            return Harness.NOT_RUN;
        }
        group.beat(controls);
        for (int i = 0; !harness.ready(1) || !harness.ready(2); i++) {
            if (i > 100) {
                return Harness.NOT_RUN;
            }
            Harness.sleep(200);
        }
        Harness.sleep(4_000);
        group.workMillis = 1;
        harness.quiet = true;
        AtomicInteger executed = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        double from = harness.seconds();
        for (int i = 0; i < SESSIONS * PROXIES; i++) {
            int session = i;
            Thread thread = new Thread(() -> load(harness, session, from, executed, failed));
            thread.setDaemon(true);
            thread.start();
        }
        int[] ends = new int[PROXIES + 1];
        boolean[] hung = new boolean[PROXIES + 1];
        servedAt[1] = from;
        servedAt[2] = from;
        double nextNote = 0;
        while (harness.seconds() - from < LOAD_SECONDS) {
            Harness.sleep(500);
            harness.quiet = false;
            if (harness.seconds() > nextNote) {
                nextNote = harness.seconds() + 5;
                harness.note("executed " + executed + ", failed attempts " + failed);
            }
            for (int i = 1; i <= PROXIES; i++) {
                Process process = harness.process("proxy-" + i);
                if (!process.isAlive()) {
                    ends[i]++;
                    harness.note("proxy-" + i + " has ended by itself with code "
                            + process.exitValue() + ", for the " + ends[i] + ". time");
                    harness.startProxy(i);
                    // A start takes a few seconds.
                    servedAt[i] = harness.seconds() + 5;
                } else if (!hung[i] && harness.seconds() - servedAt[i] >= HANG_SECONDS) {
                    hung[i] = true;
                    harness.note("proxy-" + i + " runs and has served no request of "
                            + SESSIONS + " sessions for " + HANG_SECONDS + " s");
                }
            }
            harness.quiet = true;
            if ((hung[1] || ends[1] >= ENDS) && (hung[2] || ends[2] >= ENDS)) {
                break;
            }
        }
        done = true;
        Harness.sleep(300);
        harness.quiet = false;
        harness.note("executed " + executed + ", failed attempts " + failed);
        for (int i = 1; i <= PROXIES; i++) {
            harness.quote("proxy-" + i, 4, "OutOfMemory");
        }
        boolean broken = (hung[1] || ends[1] >= ENDS) && (hung[2] || ends[2] >= ENDS);
        return broken ? Harness.BROKEN : executed.get() > 0 ? Harness.HELD : Harness.NOT_RUN;
    }

    private static void load(Harness harness, int session, double from, AtomicInteger executed,
            AtomicInteger failed) {
        String filler = "x".repeat(SHAPE_BYTES);
        int number = 0;
        while (!done) {
            try (Client client = new Client(harness, "l" + session)) {
                boolean works =
                        client.connect(harness.front(1 + session % PROXIES), "xapu221ny95");
                while (works && !done) {
                    String distinct =
                            Harness.trouble() ? session + "-" + number : "s" + number % 4;
                    number++;
                    String id = "l" + session + "n" + number;
                    works = client.query(id + "p", "PREPARE s1 READ q" + distinct + filler, 3_000)
                                    .success()
                            && client.query(id, "EXECUTE s1 1a4", 3_000).success()
                            && client.query(id + "d", "DEALLOC s1", 3_000).success();
                    (works ? executed : failed).incrementAndGet();
                    if (works) {
                        int proxy = 1 + session % PROXIES;
                        servedAt[proxy] = Math.max(servedAt[proxy], harness.seconds());
                    }
                }
            }
            Harness.sleep(200);
        }
    }
}
