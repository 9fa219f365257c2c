package org.ragwortmoor.handback;

import java.util.ArrayList;
import java.util.List;

/**
 * How far the export of one group and prefix has come.
 *
 * @param file name of the file with the records
 * @param line number of the partner line in the rule file
 * @param requester who requested the partner line
 * @param group group of the records
 * @param prefix prefix of the records
 * @param barrier confirmed position that every page contains; empty before the first page
 * @param after last key that the scan reached
 * @param bytes synced length of the file
 * @param count records in the file
 * @param pages pages, listed only if sessions may write during the export
 * @param end confirmed position after the last page; empty until the prefix is complete
 * @param confirmed whether a second pass after {@code end} found the same records
 * @param sha256 digest of the file; empty until the prefix is complete
 * @param firstSha256 digest of the file after the first pass; empty until then
 * @param checkedAfter last key that the second pass reached
 * @param checkedBytes length of the part of the file that the second pass found again
 */
record PrefixState(
        String file,
        int line,
        String requester,
        String group,
        String prefix,
        String barrier,
        String after,
        long bytes,
        long count,
        List<PageMark> pages,
        String end,
        boolean confirmed,
        String sha256,
        String firstSha256,
        String checkedAfter,
        long checkedBytes) {

    /** The position at which a page was read, and the last key that it covers. */
    record PageMark(String scannedTo, String position) {}

    /** An export that an earlier release began states nothing of a second pass. */
    PrefixState {
        pages = List.copyOf(pages);
        firstSha256 = firstSha256 == null ? "" : firstSha256;
        checkedAfter = checkedAfter == null ? "" : checkedAfter;
    }

    /** Returns the state of a prefix of which nothing has been read. */
    static PrefixState first(String file, int line, String requester, String group, String prefix) {
        return new PrefixState(
                file, line, requester, group, prefix, "", "", 0, 0, List.of(), "", false, "", "",
                "", 0);
    }

    /** Returns the state before the first page. */
    PrefixState started(String position) {
        return new PrefixState(
                file, line, requester, group, prefix, position, "", 0, 0, List.of(), "", false, "",
                "", "", 0);
    }

    /** Returns the state after a page. */
    PrefixState withPage(String scannedTo, long newBytes, long newCount, List<PageMark> marks) {
        List<PageMark> all = new ArrayList<>(pages);
        all.addAll(marks);
        return new PrefixState(
                file,
                line,
                requester,
                group,
                prefix,
                barrier,
                scannedTo,
                newBytes,
                newCount,
                all,
                end,
                confirmed,
                sha256,
                firstSha256,
                checkedAfter,
                checkedBytes);
    }

    /** Returns the state after the first pass. */
    PrefixState ended(String position, String digest) {
        return new PrefixState(
                file, line, requester, group, prefix, barrier, after, bytes, count, pages, position,
                false, "", digest, "", 0);
    }

    /** Returns the state after a page of the second pass. */
    PrefixState checked(String scannedTo, long newCheckedBytes) {
        return new PrefixState(
                file,
                line,
                requester,
                group,
                prefix,
                barrier,
                after,
                bytes,
                count,
                pages,
                end,
                confirmed,
                sha256,
                firstSha256,
                scannedTo,
                newCheckedBytes);
    }

    /** Returns the state of a complete prefix. */
    PrefixState completed(boolean agreed) {
        return new PrefixState(
                file,
                line,
                requester,
                group,
                prefix,
                barrier,
                after,
                bytes,
                count,
                pages,
                end,
                agreed,
                firstSha256,
                firstSha256,
                checkedAfter,
                checkedBytes);
    }

    /** Returns whether the second pass is under way. */
    boolean checking() {
        return !firstSha256.isEmpty();
    }

    /** Returns whether nothing is left to do. */
    boolean complete() {
        return !sha256.isEmpty();
    }
}
