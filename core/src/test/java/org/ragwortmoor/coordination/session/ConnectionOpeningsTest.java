package org.ragwortmoor.coordination.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against a change of the connections that are opened where there are no workspaces: when,
 * to which server, and what it is told. The expected values are from commit 1aad544, which knew no
 * workspaces.
 */
class ConnectionOpeningsTest {
    private static final List<String> DATABASES = List.of("strong", "bounded", "own");
    private static final List<String> STATEMENTS = List.of("READ x", "WRITE x 1", "SET lang es");

    private final List<String> openings = new ArrayList<>();

    private void observe(SimulatedHost host, List<FakeServer> servers) {
        for (FakeServer server : servers) {
            server.load.setListener(
                    (word, id) -> {
                        if (id.equals("CONNECT")) {
                            openings.add(
                                    host.now() / 1_000_000 + server.record().id() + " " + word);
                        }
                    });
        }
    }

    private static void disturb(SplittableRandom random, List<FakeServer> servers) {
        FakeServer server = servers.get(random.nextInt(servers.size()));
        if (random.nextInt(20) == 0) {
            server.crash();
            server.restart();
        }
    }

    @Test
    void aFleetWithoutHoldersOpensConnectionsAsBefore() {
        Deployment deployment = new Deployment();
        List<FakeServer> servers = List.of(deployment.s1, deployment.s2, deployment.s3);
        observe(deployment.host, servers);
        SplittableRandom random = new SplittableRandom(1);
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            callers.add(deployment.caller(DATABASES.get(i % 3)));
        }
        for (int step = 0; step < 1_000; step++) {
            callers.get(random.nextInt(12)).send(STATEMENTS.get(random.nextInt(3)));
            disturb(random, servers);
            deployment.host.advance(random.nextInt(20));
        }
        assertThat(openings).allMatch(opening -> opening.endsWith(" ragwortmoor"));
        assertThat(List.of(openings.size(), openings.hashCode()))
                .isEqualTo(List.of(92, -2044824080));
    }

    @Test
    void holdersOpenConnectionsAsBefore() {
        ForwardingFixture fixture = new ForwardingFixture();
        observe(fixture.host, fixture.servers);
        SplittableRandom random = new SplittableRandom(2);
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            callers.add(fixture.caller(i % ForwardingFixture.PROXIES, DATABASES.get(i % 3)));
        }
        for (int step = 0; step < 1_000; step++) {
            callers.get(random.nextInt(12)).send(STATEMENTS.get(random.nextInt(3)));
            disturb(random, fixture.servers);
            if (step % 200 == 100) {
                fixture.restart(fixture.holder());
            }
            fixture.host.advance(random.nextInt(20));
        }
        assertThat(openings).allMatch(opening -> opening.endsWith(" ragwortmoor"));
        assertThat(List.of(openings.size(), openings.hashCode())).isEqualTo(List.of(79, 799490296));
    }
}
