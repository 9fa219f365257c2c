import java.nio.file.Path;
import java.util.List;

/**
 * The first start of three control machines, of which one may be lost. One loses its power while it
 * starts, and its disk with it; it comes back at its address with an empty disk. The first
 * configuration must be acknowledged once all three run.
 */
final class FounderLost {
    public static void main(String[] arguments) throws Exception {
        int code;
        try (Harness harness = new Harness(Path.of(arguments[0]), 3, 0)) {
            code = run(harness);
            harness.note("exit " + code);
        }
        System.exit(code);
    }

    private static int run(Harness harness) throws Exception {
        for (int i = 1; i <= 3; i++) {
            harness.startDirectory(i, true);
        }
        if (Harness.trouble()) {
            Harness.sleep(300);
            harness.kill("directory-3");
            Harness.sleep(3_000);
            harness.loseDisk(3);
            harness.startDirectory(3, false);
        }
        // ack_ms is 5 s, the stable window 4 s; all three run and are connected from here on.
        Harness.sleep(4_000);
        double took = harness.order("version 1", Configs.of(1, 0), List.of(1, 2, 3), 60);
        for (int i = 1; i <= 3; i++) {
            harness.note("directory-" + i + " runs: "
                    + harness.process("directory-" + i).isAlive());
            harness.quote("directory-" + i, 10, "event=");
        }
        return took < 0 ? Harness.BROKEN : Harness.HELD;
    }
}
