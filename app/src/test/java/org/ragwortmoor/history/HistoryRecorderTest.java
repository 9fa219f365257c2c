package org.ragwortmoor.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortmoor.coordination.engine.ReadLevel;

class HistoryRecorderTest {
    private static Request request(String session) {
        return new Request(
                session,
                "p",
                "127.0.0.1:1",
                RequestKind.READ,
                "g",
                List.of(Access.get("k")),
                null,
                false,
                ReadLevel.AGE,
                500);
    }

    /** Guards against records that are lost or mixed up when callers record concurrently. */
    @Test
    void concurrentCallersLoseNothing() throws InterruptedException {
        AtomicLong clock = new AtomicLong();
        HistoryRecorder recorder = new HistoryRecorder(clock::incrementAndGet);
        List<Thread> threads = new ArrayList<>();
        for (int t = 0; t < 4; t++) {
            String name = "s" + t;
            threads.add(
                    new Thread(
                            () -> {
                                for (int i = 0; i < 500; i++) {
                                    long id = recorder.invoke(request(name + "-" + i));
                                    recorder.answer(id, Answer.of(Outcome.DONE, name + "-" + i));
                                }
                            }));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(recorder.records())
                .hasSize(2_000)
                .allSatisfy(r -> assertThat(r.answer().error()).isEqualTo(r.request().session()))
                .allSatisfy(r -> assertThat(r.invoked()).isLessThan(r.answered()));
    }

    /** Guards against unanswered requests that vanish, and against a second answer that counts. */
    @Test
    void unansweredIsUnknownAndOnlyTheFirstAnswerCounts() {
        HistoryRecorder recorder = new HistoryRecorder(() -> 7);
        long answered = recorder.invoke(request("a"));
        recorder.invoke(request("b"));
        recorder.answer(answered, Answer.of(Outcome.NOT_RUN, "OVERLOADED"));
        recorder.answer(answered, Answer.of(Outcome.DONE, null));
        assertThat(recorder.records())
                .extracting(r -> r.answer().outcome())
                .containsExactly(Outcome.NOT_RUN, Outcome.UNKNOWN);
    }

    /** Guards against fields that are lost in the file, and against damaged files read in part. */
    @Test
    void fileKeepsEveryField(@TempDir Path folder) throws IOException {
        List<HistoryRecord> records =
                new HistoryBuilder()
                        .write(0, 1, "s", "i", Outcome.DONE, 3, Access.increment("c", -2))
                        .write(2, 3, "s", "j", Outcome.UNKNOWN, 0, Access.delete("k"))
                        .read(4, 5, "s", ReadLevel.AGE, 500, "k", null, "c", "-2")
                        .end("c", "-2")
                        .build();
        Path file = folder.resolve("history.jsonl");
        HistoryFile.write(file, records);
        assertThat(HistoryFile.read(file).get()).isEqualTo(records);
        Files.writeString(file, Files.readString(file) + "{\"id\":9,\n");
        assertThat(HistoryFile.read(file).getLeft()).startsWith(file + ":5: ");
    }
}
