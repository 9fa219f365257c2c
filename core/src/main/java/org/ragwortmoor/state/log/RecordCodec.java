package org.ragwortmoor.state.log;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Frames a record as length, CRC32C and payload, where both numbers take 4 bytes in big-endian
 * order.
 *
 * <p>The checksum covers the length too: otherwise a run of zero bytes, which a file system can
 * leave after a crash, would be a valid empty record.
 */
final class RecordCodec {
    static final int HEADER_BYTES = 8;
    private static final int LENGTH_BYTES = 4;

    private RecordCodec() {}

    /**
     * A record read from a file.
     *
     * @param offset byte offset of the record in the file
     */
    record StoredRecord(int offset, ByteString payload) {
        int end() {
            return offset + HEADER_BYTES + payload.size();
        }
    }

    /**
     * The records of a file up to the first damaged one.
     *
     * @param validEnd offset after the last valid record
     * @param damaged whether other bytes follow the last valid record
     * @param validRecordFollows whether there is a valid record at any offset after the damage
     */
    record Scan(
            List<StoredRecord> records,
            int validEnd,
            boolean damaged,
            boolean validRecordFollows) {}

    /** Returns {@code payload} with its header. */
    static byte[] frame(ByteString payload) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.size());
        buffer.putInt(payload.size()).putInt(0);
        payload.copyTo(buffer);
        buffer.putInt(LENGTH_BYTES, checksum(buffer.array(), 0, payload.size()));
        return buffer.array();
    }

    /** Reads records until the end of the file or the first damaged record. */
    static Scan scan(byte[] file) {
        List<StoredRecord> records = new ArrayList<>();
        int offset = 0;
        while (offset < file.length) {
            int length = validLengthAt(file, offset);
            if (length < 0) {
                return new Scan(records, offset, true, hasValidRecordFrom(file, offset + 1));
            }
            ByteString payload = ByteString.copyFrom(file, offset + HEADER_BYTES, length);
            records.add(new StoredRecord(offset, payload));
            offset += HEADER_BYTES + length;
        }
        return new Scan(records, offset, false, false);
    }

    /** Tries every offset, since a damaged length does not tell where the next record starts. */
    private static boolean hasValidRecordFrom(byte[] file, int start) {
        for (int offset = start; offset + HEADER_BYTES <= file.length; offset++) {
            if (validLengthAt(file, offset) >= 0) {
                return true;
            }
        }
        return false;
    }

    private static int validLengthAt(byte[] file, int offset) {
        int room = file.length - offset - HEADER_BYTES;
        if (room < 0) {
            return -1;
        }
        ByteBuffer header = ByteBuffer.wrap(file, offset, HEADER_BYTES);
        int length = header.getInt();
        if (length < 0 || length > room) {
            return -1;
        }
        return checksum(file, offset, length) == header.getInt() ? length : -1;
    }

    private static int checksum(byte[] file, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(file, offset, LENGTH_BYTES);
        crc.update(file, offset + HEADER_BYTES, length);
        return (int) crc.getValue();
    }
}
