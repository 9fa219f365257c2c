package org.ragwortmoor.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.api.extension.TestWatcher;
import org.junit.jupiter.api.io.TempDir;

/** Shares one deployment between the cases of a class and prints its logs when a case fails. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
abstract class ProcessTestCase {
    static final String GROUP = ProcessHarness.GROUP;

    @TempDir static Path folder;

    @RegisterExtension final TestWatcher logs = new PrintLogs();

    ProcessHarness harness;

    @BeforeAll
    void startDeployment() {
        harness = ProcessHarness.start(folder, options());
    }

    /** Returns what is particular to the deployment of this class. */
    ProcessHarness.Options options() {
        return ProcessHarness.Options.DEFAULT;
    }

    @AfterAll
    void endDeployment() {
        if (harness != null) {
            harness.close();
        }
    }

    static JsonNode put(String proxy, String token, String key, String value) {
        String body =
                "{'token':'%s','group':'%s','operations':[{'op':'put','key':'%s','value':'%s'}]}"
                        .formatted(token, GROUP, key, value);
        return Api.post(proxy, "/v1/write", body);
    }

    static JsonNode read(String proxy, String token, String key) {
        String body = "{'token':'%s','group':'%s','keys':['%s']}".formatted(token, GROUP, key);
        return Api.post(proxy, "/v1/read", body);
    }

    static String value(JsonNode read) {
        assertThat(Api.outcome(read)).as("%s", read).isEqualTo("done");
        return read.at("/records/0/value").asText("");
    }

    /** Applies a rule text through one control process. */
    static JsonNode apply(
            String control, long expected, String operation, String operator, String text) {
        String body =
                "{'text':'%s','expectVersion':%d,'operationId':'%s','operator':'%s'}"
                        .formatted(text.replace("\n", "\\n"), expected, operation, operator);
        return Api.post(control, "/v1/rules", body);
    }

    /** Applies a rule text through the leader; sends it again until an outcome is known. */
    JsonNode applyThroughLeader(long expected, String operation, String operator, String text) {
        JsonNode[] answer = new JsonNode[1];
        harness.await(
                "a decision on operation " + operation,
                () -> {
                    answer[0] =
                            apply(harness.leader().address(), expected, operation, operator, text);
                    return List.of("done", "pending", "not-run").contains(Api.outcome(answer[0]));
                });
        return answer[0];
    }

    /** Returns the newest accepted version according to the leader. */
    long rulesVersion() {
        return harness.leaderStatus().path("rulesVersion").asLong();
    }

    private final class PrintLogs implements TestWatcher {
        @Override
        public void testFailed(ExtensionContext context, Throwable cause) {
            if (harness != null) {
                System.err.println("==== " + context.getDisplayName() + " failed");
                System.err.println(harness.states());
                harness.printLogs();
            }
        }
    }
}
