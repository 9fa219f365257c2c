import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A proxy gets SIGTERM. Sessions that are open go on for a moment, as the platform still sends work
 * there, and begin transactions of twelve statements. No request that the proxy has read may be cut
 * off without an answer.
 */
final class StopCuts {
    private static final int SESSIONS = 10;
    private static final int STATEMENTS = 12;
    private static final int WORK_MILLIS = 400;
    private static final int PAUSE_MILLIS = 100;

    public static void main(String[] arguments) throws Exception {
        int code;
        try (Harness harness = new Harness(Path.of(arguments[0]), 3, 3);
                Group group = new Group(harness, 3)) {
            code = run(harness, group);
            harness.note("exit " + code);
        }
        System.exit(code);
    }

    private static int run(Harness harness, Group group) throws Exception {
        List<String> controls = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            harness.startDirectory(i, true);
            harness.startProxy(i);
            controls.add(harness.control(i));
        }
        if (harness.order("version 1", Configs.of(1, 0), List.of(1, 2, 3), 20) < 0) {
            return Harness.NOT_RUN;
        }
        group.beat(controls);
        for (int i = 0; !harness.ready(1); i++) {
            if (i > 100) {
                return Harness.NOT_RUN;
            }
            Harness.sleep(200);
        }
        Harness.sleep(6_000);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < SESSIONS; i++) {
            Client client = new Client(harness, "c" + i);
            if (!client.connect(harness.front(1), "xapu221ny95")
                    || !client.query("warm" + i, "READ 1a4", 3_000).success()) {
                return Harness.NOT_RUN;
            }
            clients.add(client);
        }
        group.workMillis = WORK_MILLIS;
        double stoppedAt = harness.seconds();
        if (Harness.trouble()) {
            harness.signal("proxy-1", "TERM");
        }
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SESSIONS; i++) {
            Client client = clients.get(i);
            String name = "s" + i;
            // All begin after the SIGTERM, within the time that the platform needs to notice.
            long delay = 1_000 + 100L * i;
            Thread thread = new Thread(() -> {
                Harness.sleep(delay);
                transaction(harness, group, client, name, stoppedAt, cut, answered);
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        harness.quote("proxy-1", 20, "event=stop");
        harness.note("requests answered " + answered + ", cut off " + cut);
        return cut.get() > 0 ? Harness.BROKEN : answered.get() > 0 ? Harness.HELD : Harness.NOT_RUN;
    }

    private static void transaction(Harness harness, Group group, Client client, String name,
            double stoppedAt, AtomicInteger cut, AtomicInteger answered) {
        try (client) {
            List<String> texts = new ArrayList<>();
            texts.add("BEGIN READ");
            for (int i = 0; i < STATEMENTS - 2; i++) {
                texts.add("READ 1a" + i);
            }
            texts.add("COMMIT");
            for (int i = 0; i < texts.size(); i++) {
                double sentAt = harness.seconds();
                Client.Answer answer = client.query(name + "q" + i, texts.get(i), 3_000);
                double endedAt = harness.seconds();
                if (!answer.complete()) {
                    boolean passedOn = group.begun.contains(name + "q" + i);
                    harness.note(String.format("request %sq%d was sent %.3f s after SIGTERM and cut "
                            + "off %.3f s later, passed on to a server: %s", name, i,
                            sentAt - stoppedAt, endedAt - sentAt, passedOn));
                    if (passedOn && sentAt - stoppedAt > 3) {
                        cut.incrementAndGet();
                    }
                    return;
                }
                answered.incrementAndGet();
                if (!answer.success()) {
                    client.query(name + "qr", "ROLLBACK", 3_000);
                    return;
                }
                Harness.sleep(PAUSE_MILLIS);
            }
        }
    }
}
