package org.ragwortmoor.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortmoor.state.EndpointStatus;

/** Guards against an endpoint that forgets its promise or its log when its process is killed. */
class FileJournalTest {
    private static final String FILE = "endpoint.journal";

    @TempDir Path folder;

    private FileJournal open(long seed) throws IOException {
        return FileJournal.open(folder, new SplittableRandom(seed));
    }

    private static StandinDatabase database(FileJournal journal) {
        return new StandinDatabase(journal, journal.recovered());
    }

    @Test
    void restartKeepsPromiseLogAndIncarnation() throws Exception {
        EndpointStatus before;
        long incarnation;
        try (FileJournal journal = open(1)) {
            StandinDatabase database = database(journal);
            Script calls = new Script(database);
            calls.run("promote 3");
            calls.run("write 3 a/1 k=1 ?k");
            calls.run("resolve 3 b/1");
            before = database.status(0, 0, 0, false);
            incarnation = journal.incarnation();
        }
        try (FileJournal journal = open(2)) {
            StandinDatabase database = database(journal);
            assertThat(journal.incarnation()).isEqualTo(incarnation);
            assertThat(database.status(0, 0, 0, false)).isEqualTo(before);
            Script calls = new Script(database);
            assertThat(calls.run("write 3 a/1 k=2 ?k")).isEqualTo("3:2 k=1 duplicate");
            assertThat(calls.run("write 3 b/1 k=2")).isEqualTo("CANCELLED 1");
            assertThat(calls.run("follow 4 1.2.3.4:5")).isEqualTo("replica 4 at 3:3");
        }
        try (FileJournal journal = open(3)) {
            assertThat(journal.recovered().promise()).isEqualTo(new Promise(4, false, "1.2.3.4:5"));
        }
    }

    @Test
    void truncationSurvivesARestart() throws Exception {
        StandinDatabase primary = new StandinDatabase(Journal.NONE, Recovered.EMPTY);
        primary.promote(2);
        try (FileJournal journal = open(1)) {
            StandinDatabase database = database(journal);
            new Script(database).run("promote 1");
            new Script(database).run("write 1 a/1 k=1");
            database.follow(2, "x");
            database.replicate(2, primary.fetch(2, database.last(), 1000));
            database.replicate(2, primary.fetch(2, database.last(), 1000));
        }
        try (FileJournal journal = open(2)) {
            StandinDatabase database = database(journal);
            assertThat(database.last()).isEqualTo(primary.last());
            assertThat(database.discardedEntries()).isEqualTo(2);
        }
    }

    @Test
    void aTornRecordAtTheEndIsCut() throws Exception {
        byte[] whole = journalOfTwoWrites();
        // All cuts behind the incarnation and the promise, which come before the first entry.
        for (int length = whole.length - 1; length > whole.length - 20; length--) {
            Files.write(folder.resolve(FILE), Arrays.copyOf(whole, length));
            try (FileJournal journal = open(2)) {
                StandinDatabase database = database(journal);
                assertThat(database.last().index()).isEqualTo(2);
                assertThat(new Script(database).run("write 1 c/1 k=3")).isEqualTo("1:3");
            }
        }
    }

    @Test
    void aPromotionCutShortCanBeRepeated() throws Exception {
        try (FileJournal journal = open(1)) {
            journal.promised(new Promise(1, true, ""));
        }
        try (FileJournal journal = open(2)) {
            Script calls = new Script(database(journal));
            assertThat(calls.run("write 1 a/1 k=1")).isEqualTo("NOT_PRIMARY");
            assertThat(calls.run("promote 1")).isEqualTo("primary 1 at 1:1");
        }
    }

    @Test
    void damageBeforeTheEndIsReported() throws Exception {
        byte[] whole = journalOfTwoWrites();
        // The second byte is the tag of the first record.
        whole[1] = 7;
        Files.write(folder.resolve(FILE), whole);
        assertThatThrownBy(() -> open(2))
                .isInstanceOf(IOException.class)
                .hasMessageContaining(FILE)
                .hasMessageContaining("offset 0")
                .hasMessageContaining("remove it");
    }

    private byte[] journalOfTwoWrites() throws IOException {
        try (FileJournal journal = open(1)) {
            Script calls = new Script(database(journal));
            calls.run("promote 1");
            calls.run("write 1 a/1 k=1");
            calls.run("write 1 b/1 k=2");
        }
        return Files.readAllBytes(folder.resolve(FILE));
    }
}
