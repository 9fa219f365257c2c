package org.ragwortmoor.coordination.control;

import static org.ragwortmoor.coordination.control.ControlFixture.MS;

import java.util.List;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerCodec;
import org.ragwortmoor.protocol.PeerEnvelope;

/**
 * Measures the traffic between a proxy and three control processes in virtual time, both with
 * complete reports and answers and with deltas; run as a main class.
 */
public final class ControlTraffic {
    static final int CONTROLS = 3;
    private static final int PROXIES = 7;
    private static final int SECONDS = 20;

    private final ControlFixture fixture;
    private long completeReports;
    private long reports;

    private ControlTraffic(int groups, int changesPerSecond) {
        fixture = new ControlFixture(1);
        String[] domains = {"Colina", "Pirque", "Lampa"};
        for (int g = 0; g < groups; g++) {
            String group = "fleet-colina-%04d".formatted(g);
            for (int e = 0; e < domains.length; e++) {
                fixture.endpoint(group, group + "-" + e, domains[e]);
            }
        }
        for (int p = 0; p < PROXIES; p++) {
            SimulatedProxy proxy = fixture.proxy("proxy-%04d".formatted(p), domains[p % 3]);
            proxy.incarnation = 0x1234567812345678L + p;
            proxy.shares = new ProxyShares(proxy.incarnation);
            if (changesPerSecond > 0) {
                fixture.every(1_000 * MS / changesPerSecond, 0, () -> change(proxy));
            }
        }
    }

    private void change(SimulatedProxy proxy) {
        List<EndpointKey> keys = List.copyOf(fixture.endpoints.keySet());
        proxy.wanted.put(keys.get(fixture.random.nextInt(keys.size())), fixture.random.nextInt(5));
    }

    /** Returns the size of a message including its 4-byte frame header. */
    static int bytes(PeerBody body) {
        return PeerCodec.encode(new PeerEnvelope("proxy-0001", body)).getSerializedSize() + 4;
    }

    static int bytes(ReportDeltaEncoder.EncodedReports forms) {
        return bytes(new PeerBody.Report(forms.leader()))
                + (CONTROLS - 1) * bytes(new PeerBody.Report(forms.others()));
    }

    /** Traffic of one proxy in bytes per second. */
    record Rates(long completeReports, long reports, long completeAnswers, long answers) {}

    static Rates measure(int groups, int changesPerSecond) {
        return new ControlTraffic(groups, changesPerSecond).measure();
    }

    private Rates measure() {
        fixture.run(20_000);
        for (SimulatedProxy proxy : fixture.proxies.values()) {
            proxy.reported =
                    (all, forms) -> {
                        completeReports += CONTROLS * bytes(new PeerBody.Report(all));
                        reports += bytes(forms);
                    };
        }
        fixture.updates.clear();
        fixture.run(SECONDS * 1_000);
        long answers = fixture.updates.stream().mapToLong(u -> bytes(new PeerBody.Update(u))).sum();
        long completeAnswers =
                fixture.updates.stream()
                        .mapToLong(u -> bytes(new PeerBody.Update(withAllShares(u))))
                        .sum();
        int rate = SECONDS * PROXIES;
        return new Rates(
                completeReports / rate, reports / rate, completeAnswers / rate, answers / rate);
    }

    private ControlUpdate withAllShares(ControlUpdate update) {
        return new ControlUpdate(
                update.proxy(),
                update.leaderTerm(),
                update.reportSequence(),
                update.reportSentAt(),
                update.rulesLeaseMillis(),
                update.shareLeaseMillis(),
                update.rules(),
                update.pending(),
                update.groups(),
                List.copyOf(fixture.proxies.get(update.proxy()).shares.shares().values()),
                update.tokenKeys(),
                update.proxyIncarnation(),
                update.groupsRevision());
    }

    /** Prints the measured traffic. */
    public static void main(String[] args) {
        for (int groups : new int[] {3, 18}) {
            for (int changes : new int[] {0, 2, 10}) {
                Rates rates = measure(groups, changes);
                System.out.printf(
                        "%d groups, %d changes of demand a second: reports %d B/s, with changes"
                                + " only %d B/s; answers %d B/s, with changes only %d B/s%n",
                        groups,
                        changes,
                        rates.completeReports(),
                        rates.reports(),
                        rates.completeAnswers(),
                        rates.answers());
            }
        }
    }
}
