import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings file of a proxy changes just after its process has read it: the seeds, which name
 * machines that are gone, are exchanged for the present ones. The proxy must follow the file.
 */
final class SettingsAtStart {
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
        if (harness.order("version 1", Configs.of(1, 0), List.of(1, 2, 3), 20) < 0) {
            return Harness.NOT_RUN;
        }
        group.beat(List.of(harness.control(1), harness.control(2), harness.control(3)));
        Harness.sleep(4_000);
        if (Harness.trouble()) {
            harness.startProxyWithSeeds(1, "127.0.5.1:8782,127.0.5.2:8782,127.0.5.3:8782");
            for (int i = 0; !Files.readString(harness.log("proxy-1")).contains("event=start"); i++) {
                if (i > 2_000) {
                    return Harness.NOT_RUN;
                }
                Harness.sleep(5);
            }
            harness.changeSeeds(1);
        } else {
            harness.startProxy(1);
        }
        double from = harness.seconds();
        boolean signalled = false;
        while (harness.seconds() - from < 60) {
            if (harness.ready(1)) {
                harness.note("proxy-1 is ready");
                return Harness.HELD;
            }
            if (Harness.trouble() && !signalled && harness.seconds() - from > 5) {
                signalled = true;
                harness.signal("proxy-1", "HUP");
            }
            Harness.sleep(1_000);
        }
        harness.note("proxy-1 runs: " + harness.process("proxy-1").isAlive() + ", and is not ready");
        harness.quote("proxy-1", 10, "event=settings", "event=reload", "event=start");
        return Harness.BROKEN;
    }
}
