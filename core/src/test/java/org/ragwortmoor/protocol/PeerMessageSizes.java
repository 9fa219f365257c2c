package org.ragwortmoor.protocol;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGeneratorFactory;
import org.ragwortmoor.coordination.control.Announcement;
import org.ragwortmoor.coordination.control.ControlUpdate;
import org.ragwortmoor.coordination.control.ProxyReport;
import org.ragwortmoor.coordination.engine.EngineSettings;
import org.ragwortmoor.coordination.engine.GroupEngine;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.GroupView;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.TermHistory;
import org.ragwortmoor.state.TermStart;

/** Prints the sizes of messages between processes and the heap usage of idle engines. */
public final class PeerMessageSizes {
    private static final int ENDPOINTS = 3;
    private static final int ENGINES = 5_000;

    private PeerMessageSizes() {}

    /** Prints the table. */
    public static void main(String[] args) {
        System.out.println("groups report_bytes update_bytes directory_bytes");
        for (int groups : new int[] {3, 18, 36}) {
            System.out.printf(
                    "%d %d %d %d%n",
                    groups,
                    bytes(new PeerBody.Report(report(groups))),
                    bytes(new PeerBody.Update(update(groups, false, 0))),
                    bytes(new PeerBody.Update(update(groups, true, 0))));
        }
        System.out.println("rule_lines update_bytes (3 groups)");
        for (int lines : new int[] {10, 100, 1_000, 10_000}) {
            System.out.printf(
                    "%d %d%n", lines, bytes(new PeerBody.Update(update(3, false, lines))));
        }
        Announcement announcement =
                new Announcement("fleet-colina-0001", ENDPOINTS, info(1, 1), status(), 250);
        System.out.println("announcement_bytes " + bytes(new PeerBody.Announced(announcement)));
        System.out.println("heap_bytes_per_idle_engine " + heapBytesPerEngine());
    }

    private static int bytes(PeerBody body) {
        return PeerCodec.encode(new PeerEnvelope("proxy-0001", body)).getSerializedSize() + 4;
    }

    private static String group(int number) {
        return "fleet-colina-%04d".formatted(number);
    }

    private static ProxyReport report(int groups) {
        List<ProxyReport.EndpointObservation> seen = new ArrayList<>();
        for (int g = 0; g < groups; g++) {
            for (int e = 1; e <= ENDPOINTS; e++) {
                seen.add(
                        new ProxyReport.EndpointObservation(
                                group(g), group(g) + "-" + e, 60, 4, 4, 0, 0, 12));
            }
        }
        return new ProxyReport(
                "proxy-0001",
                0x1234567812345678L,
                "colina",
                100_000,
                12,
                0,
                false,
                1L << 50,
                seen,
                new ProxyReport.Acknowledged(3, 100_000, 900));
    }

    private static ControlUpdate update(int groups, boolean directory, int ruleLines) {
        List<GroupView> views = new ArrayList<>();
        List<ControlUpdate.Share> shares = new ArrayList<>();
        for (int g = 0; g < groups; g++) {
            List<EndpointInfo> infos = new ArrayList<>();
            for (int e = 1; e <= ENDPOINTS; e++) {
                infos.add(info(g, e));
                shares.add(new ControlUpdate.Share(group(g), group(g) + "-" + e, 1, 4, 1));
            }
            if (directory) {
                views.add(
                        new GroupView(group(g), ENDPOINTS, 12, Option.of(group(g) + "-1"), infos));
            }
        }
        String text =
                "allow read session=court-* partner=golfsur  # requested by M. Rojas: order 114\n"
                        .repeat(ruleLines);
        return new ControlUpdate(
                "proxy-0001",
                3,
                100_000,
                1L << 50,
                2_000,
                3_000,
                ruleLines == 0 ? Option.none() : Option.of(new ControlUpdate.RulesText(12, text)),
                Option.none(),
                views,
                shares,
                List.of(),
                0x1234567812345678L,
                900);
    }

    private static EndpointInfo info(int group, int endpoint) {
        return new EndpointInfo(
                group(group) + "-" + endpoint,
                0x1234567812345678L,
                "10.20.30.40:7301",
                "colina",
                5,
                30,
                false);
    }

    private static EndpointStatus status() {
        return new EndpointStatus(
                12,
                true,
                new Position(12, 1_000_000),
                new TermHistory(List.of(new TermStart(1, 1), new TermStart(12, 900_000))),
                2,
                0,
                28,
                false,
                0x1234567812345678L);
    }

    private static long heapBytesPerEngine() {
        List<GroupEngine> engines = new ArrayList<>(ENGINES);
        long before = usedHeapBytes();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(
                    new GroupEngine(
                            EngineSettings.defaults(),
                            "proxy-0001",
                            group(i),
                            RandomGeneratorFactory.of("L64X128MixRandom").create(i)));
        }
        long after = usedHeapBytes();
        return (after - before) / engines.size();
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
