package org.ragwortmoor.handback;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Durable files of an export. */
final class ExportFiles {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final String TEMPORARY = ".tmp";
    private static final int BUFFER_BYTES = 1 << 16;

    private ExportFiles() {}

    /** Replaces a file as a whole: a crash leaves the old content or the new one. */
    static void replace(Path file, byte[] content) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY);
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            write(channel, content);
        }
        Files.move(
                temporary,
                file,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        syncFolder(file.getParent());
    }

    /** Writes {@code content} at {@code offset}, drops what stood behind it, and syncs. */
    static long append(Path file, long offset, byte[] content) throws IOException {
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            if (channel.size() < offset) {
                throw new IOException(
                        file + " is shorter than the export state says; use a new folder");
            }
            channel.truncate(offset);
            channel.position(offset);
            write(channel, content);
        }
        return offset + content.length;
    }

    /** Returns up to {@code length} bytes from {@code offset} on; fewer at the end of the file. */
    static byte[] read(Path file, long offset, int length) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            in.skipNBytes(offset);
            return in.readNBytes(length);
        }
    }

    private static void write(FileChannel channel, byte[] content) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(content);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
        channel.force(true);
    }

    /** Makes the names in a folder durable. */
    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    static String hex(MessageDigest digest) {
        return HexFormat.of().formatHex(digest.digest());
    }

    /** Returns the SHA-256 of a file in hexadecimal digits. */
    static String sha256(Path file) throws IOException {
        MessageDigest digest = sha256();
        byte[] buffer = new byte[BUFFER_BYTES];
        try (InputStream in = Files.newInputStream(file)) {
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                digest.update(buffer, 0, read);
            }
        }
        return hex(digest);
    }
}
