package org.ragwortmoor.backup;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import org.ragwortmoor.coordination.control.ControlState;
import org.ragwortmoor.coordination.control.ControlStateCodec;

/**
 * A backup of the replicated control state.
 *
 * <p>The file consists of a line with the format version, a line of JSON with the other fields and
 * the length of the state, the state as in a snapshot, and a line with the SHA-256 of all before.
 *
 * @param node control leader that gave the state
 * @param createdMillis wall-clock time of that leader in milliseconds
 * @param term consensus term of that leader
 * @param index log index up to which commands are included
 * @param state replicated state
 */
public record ControlBackup(
        String node, long createdMillis, long term, long index, ControlState state) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int FORMAT = 1;
    private static final String TITLE = "ragwortmoor control backup ";
    private static final int DIGEST_DIGITS = 64;
    private static final String REMEDY = "; use another copy of the backup";

    /** Returns the content of the backup file. */
    public byte[] encode() {
        byte[] snapshot = ControlStateCodec.encodeSnapshot(state);
        JsonNode header =
                JSON.createObjectNode()
                        .put("node", node)
                        .put("createdMillis", createdMillis)
                        .put("term", term)
                        .put("index", index)
                        .put("bytes", snapshot.length);
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        file.writeBytes((TITLE + FORMAT + "\n" + header + "\n").getBytes(StandardCharsets.UTF_8));
        file.writeBytes(snapshot);
        file.writeBytes((digest(file.toByteArray()) + "\n").getBytes(StandardCharsets.UTF_8));
        return file.toByteArray();
    }

    /** Returns the backup, or what is wrong with the file and the remedy. */
    public static Either<String, ControlBackup> decode(byte[] file) {
        int titleEnd = lineEnd(file, 0);
        String title = text(file, 0, Math.max(titleEnd, 0));
        if (titleEnd < 0 || !title.startsWith(TITLE)) {
            return Either.left("the file is no backup of the control state" + REMEDY);
        }
        if (!title.equals(TITLE + FORMAT)) {
            return Either.left(
                    "the backup has the format version \""
                            + title.substring(TITLE.length())
                            + "\", this release reads "
                            + FORMAT
                            + "; restore with the release that wrote it, or"
                            + REMEDY.substring(1));
        }
        int headerEnd = lineEnd(file, titleEnd + 1);
        int digestStart = file.length - DIGEST_DIGITS - 1;
        if (headerEnd < 0 || digestStart <= headerEnd) {
            return Either.left("the backup is truncated at " + file.length + " bytes" + REMEDY);
        }
        String found = digest(Arrays.copyOf(file, digestStart));
        if (!text(file, digestStart, file.length).equals(found + "\n")) {
            return Either.left(
                    "the backup is truncated or damaged: its SHA-256 does not match its "
                            + file.length
                            + " bytes"
                            + REMEDY);
        }
        return content(
                text(file, titleEnd + 1, headerEnd),
                Arrays.copyOfRange(file, headerEnd + 1, digestStart));
    }

    /** Reads what the checksum has confirmed; an error here means that another program wrote it. */
    private static Either<String, ControlBackup> content(String header, byte[] snapshot) {
        try {
            JsonNode fields = JSON.readTree(header);
            if (fields.path("bytes").asLong(-1) != snapshot.length) {
                return Either.left("the backup states another length of its state" + REMEDY);
            }
            return ControlStateCodec.decodeSnapshot(snapshot)
                    .mapLeft(error -> "the backup cannot be read (" + error + ")" + REMEDY)
                    .map(
                            state ->
                                    new ControlBackup(
                                            fields.path("node").asText(),
                                            fields.path("createdMillis").asLong(),
                                            fields.path("term").asLong(),
                                            fields.path("index").asLong(),
                                            state));
        } catch (JsonProcessingException e) {
            return Either.left("the backup has no readable header" + REMEDY);
        }
    }

    private static int lineEnd(byte[] file, int from) {
        for (int i = from; i < file.length; i++) {
            if (file[i] == '\n') {
                return i;
            }
        }
        return -1;
    }

    private static String text(byte[] file, int from, int to) {
        return new String(file, from, to - from, StandardCharsets.UTF_8);
    }

    private static String digest(byte[] content) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform must provide SHA-256", e);
        }
    }
}
