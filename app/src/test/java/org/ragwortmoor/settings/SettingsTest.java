package org.ragwortmoor.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against settings that are silently ignored, misread or undocumented. */
class SettingsTest {
    private static final List<String> PROXY =
            List.of(
                    "--name",
                    "p1",
                    "--failure-domain=Lampa",
                    "--http-address",
                    "127.0.0.1:8080",
                    "--control-addresses",
                    "a@127.0.0.1:7001, b@[::1]:7002");

    @TempDir Path folder;

    private static List<String> problems(Role<?> role, Map<String, String> env, List<String> args) {
        return new SettingsReader(env)
                .read(role, args).getLeft().stream().map(SettingsProblem::text).toList();
    }

    @Test
    void readsValuesAndDefaults() {
        ProxySettings settings = new SettingsReader(Map.of()).read(ProxySettings.ROLE, PROXY).get();
        assertThat(settings.name()).isEqualTo("p1");
        assertThat(settings.controlAddresses().get(1)).hasToString("b@[::1]:7002");
        assertThat(settings.defaultDeadlineMillis()).isEqualTo(5_000);
    }

    @Test
    void flagBeatsEnvironmentBeatsFileBeatsDefault() throws Exception {
        Path file = folder.resolve("proxy.conf");
        Files.writeString(
                file, "# comment\n\nworkers = 7\nstop-timeout=9\nname = f\nmax-deadline=70000");
        Map<String, String> env =
                Map.of(
                        "RAGWORTMOOR_SETTINGS", file.toString(),
                        "RAGWORTMOOR_WORKERS", "8",
                        "RAGWORTMOOR_NAME", "e",
                        "RAGWORTMOOR_JAVA_OPTS", "-Xmx1g");
        ProxySettings settings = new SettingsReader(env).read(ProxySettings.ROLE, PROXY).get();
        assertThat(settings.name()).isEqualTo("p1");
        assertThat(settings.workers()).isEqualTo(8);
        assertThat(settings.stopTimeoutMillis()).isEqualTo(9);
        assertThat(settings.maxDeadlineMillis()).isEqualTo(70_000);
        assertThat(settings.maxRequestBytes()).isEqualTo(1_048_576);
    }

    @Test
    void reportsAllProblemsInOneRun() throws Exception {
        Path file = folder.resolve("proxy.conf");
        Files.writeString(file, "wrokers = 7\nstop-timeout\nname = a\nname = b\n");
        List<String> problems =
                problems(
                        ProxySettings.ROLE,
                        Map.of("RAGWORTMOOR_WORKERS", "0"),
                        List.of(
                                "--nmae",
                                "p1",
                                "--http-address",
                                "localhost:80",
                                "--max-deadline",
                                "--settings",
                                file.toString()));
        assertThat(problems)
                .satisfiesExactlyInAnyOrder(
                        p -> assertThat(p).contains("--nmae: there is no such flag"),
                        p -> assertThat(p).contains("--max-deadline: the value is missing"),
                        p -> assertThat(p).contains("conf:1: there is no setting 'wrokers'"),
                        p -> assertThat(p).contains("conf:2: there is no '='"),
                        p -> assertThat(p).contains("conf:4: 'name' is given twice"),
                        p -> assertThat(p).contains("--failure-domain: a required setting"),
                        p -> assertThat(p).contains("'localhost' is no IP number; give IP:PORT"),
                        p -> assertThat(p).contains("--control-addresses: a required"),
                        p -> assertThat(p).contains("RAGWORTMOOR_WORKERS: workers: 0 is out of"));
    }

    @Test
    void reportsConflictsBetweenSettings() {
        List<String> problems =
                problems(
                        ControlSettings.ROLE,
                        Map.of(),
                        List.of(
                                "--node-id=c",
                                "--failure-domain=d",
                                "--peer-address=127.0.0.1:1",
                                "--http-address=127.0.0.1:2",
                                "--data-folder=x",
                                "--members=a@127.0.0.1:1,b@127.0.0.1:2",
                                "--heartbeat=300"));
        assertThat(problems).hasSize(3);
        assertThat(problems.get(1)).contains("c@127.0.0.1:1 is not among the members");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "example.org:80",
                "127.0.0.1",
                "127.0.0.1:",
                "127.0.0.1:65536",
                "127.0.0.1:-1",
                "::1:80",
                "[127.0.0.1]:80",
                "[::1:80",
                "1.2.3:80",
                ":80",
                "127.0.0.1:+8"
            })
    void refusesWhatIsNoAddress(String text) {
        assertThat(Address.parse(text).isLeft()).isTrue();
    }

    @Test
    void thePageMatchesTheCode() throws Exception {
        assertThat(Files.readString(Path.of("..", "docs", "settings.md")))
                .as("regenerate with: bin/ragwortmoor settings > docs/settings.md")
                .isEqualTo(SettingsReference.page());
    }
}
