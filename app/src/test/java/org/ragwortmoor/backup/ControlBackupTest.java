package org.ragwortmoor.backup;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortmoor.coordination.control.ControlCommand;
import org.ragwortmoor.coordination.control.ControlState;
import org.ragwortmoor.coordination.control.TokenKey;
import org.ragwortmoor.settings.ValueTypes;

/** Guards against a damaged backup that is restored, and against a restore over existing files. */
class ControlBackupTest {
    private static final long CREATED = 1_700_000_000_000L;
    private static final long NOW = CREATED + 1;

    @TempDir Path folder;

    private static ControlBackup backup() {
        ControlState state = ControlState.EMPTY;
        for (ControlCommand command :
                List.of(
                        new ControlCommand.RegisterGroup("fleet", 3),
                        new ControlCommand.ApplyRules("op", 0, "# none", Set.of(), "ana", 3),
                        new ControlCommand.AddTokenKey(
                                "key", new TokenKey(1, "c2VjcmV0"), "control", 4))) {
            state = state.apply(command)._1;
        }
        return new ControlBackup("control-2", CREATED, 9, 14, state);
    }

    private RestoredFolders folders(ControlBackup backup) {
        String members = "control-1@127.0.0.1:7101,control-2@127.0.0.1:7102";
        return new RestoredFolders(backup, ValueTypes.NODES.parse(members).get(), () -> 5);
    }

    @Test
    void roundTrip() {
        assertThat(ControlBackup.decode(backup().encode()).get()).isEqualTo(backup());
    }

    @Test
    void everyFlippedByteIsFound() {
        byte[] file = backup().encode();
        for (int i = 0; i < file.length; i++) {
            for (int mask : List.of(1, 0x20, 0xff)) {
                byte[] damaged = file.clone();
                damaged[i] ^= (byte) mask;
                assertThat(ControlBackup.decode(damaged).isLeft())
                        .as("byte %d, mask %d", i, mask)
                        .isTrue();
                assertThat(ControlBackup.decode(damaged).getLeft())
                        .contains("use another copy of the backup");
            }
        }
    }

    @Test
    void everyTruncationAndEveryAppendedByteIsFound() {
        byte[] file = backup().encode();
        for (int length = 0; length < file.length; length++) {
            assertThat(ControlBackup.decode(Arrays.copyOf(file, length)).getLeft())
                    .as("length %d", length)
                    .contains("use another copy of the backup");
        }
        assertThat(ControlBackup.decode(Arrays.copyOf(file, file.length + 1)).isLeft()).isTrue();
    }

    @Test
    void anotherFormatVersionIsNamed() {
        String text = new String(backup().encode(), StandardCharsets.ISO_8859_1);
        byte[] other =
                text.replaceFirst("backup 1", "backup 2").getBytes(StandardCharsets.ISO_8859_1);
        assertThat(ControlBackup.decode(other).getLeft())
                .contains("format version \"2\"", "this release reads 1");
    }

    @Test
    void aFolderThatIsNotEmptyIsLeftAsItIs() throws Exception {
        Path output = Files.createDirectory(folder.resolve("out"));
        Path present = Files.writeString(output.resolve("vote"), "x");
        assertThat(folders(backup()).write(output, NOW).getLeft())
                .contains("not empty", "--output");
        assertThat(Files.readString(present)).isEqualTo("x");
        assertThat(entries(output)).containsExactly("vote");
        assertThat(entries(folder)).as("nothing is left beside it").containsExactly("out");
    }

    /** Numbers of an earlier restore could be given again if the clock stood before them. */
    @Test
    void aClockBeforeTheBackupIsRefused() throws Exception {
        Path output = folder.resolve("out");
        assertThat(folders(backup()).write(output, CREATED).getLeft())
                .contains("correct the clock");
        assertThat(entries(folder)).isEmpty();
    }

    @Test
    void foldersAndBackupAreReadableByTheirOwnerOnly() throws Exception {
        Path output = folder.resolve("out");
        List<Path> written = folders(backup()).write(output, NOW).get();
        assertThat(written)
                .containsExactly(output.resolve("control-1"), output.resolve("control-2"));
        for (Path path : List.of(output, written.get(0), written.get(1))) {
            assertThat(permissions(path)).isEqualTo("rwx------");
        }
        Path file = folder.resolve("backup");
        // The file of another run must stay.
        Files.writeString(folder.resolve("backup.tmp"), "x");
        PrivateFiles.create(file, backup().encode());
        assertThat(permissions(file)).isEqualTo("rw-------");
        assertThatThrownBy(() -> PrivateFiles.create(file, new byte[1]))
                .isInstanceOf(FileAlreadyExistsException.class);
        assertThat(Files.readAllBytes(file)).isEqualTo(backup().encode());
        assertThat(entries(folder)).containsExactly("backup", "backup.tmp", "out");
    }

    private static String permissions(Path path) throws Exception {
        return PosixFilePermissions.toString(Files.getPosixFilePermissions(path));
    }

    private static List<String> entries(Path path) throws Exception {
        try (var found = Files.list(path)) {
            return found.map(p -> p.getFileName().toString()).sorted().toList();
        }
    }
}
