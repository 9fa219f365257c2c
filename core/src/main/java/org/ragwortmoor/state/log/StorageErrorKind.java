package org.ragwortmoor.state.log;

/** Kinds of expected storage errors, each with its remedy. */
public enum StorageErrorKind {
    /** A log record is damaged and the damage is not a torn tail. */
    DAMAGED_LOG("damaged log record", Remedy.REPAIR),
    /** The log ends before the last index that was synced. */
    LOST_SYNCED_ENTRIES("synced log entries are missing", Remedy.REPAIR),
    /** A segment is missing between the snapshot and the end of the log. */
    MISSING_SEGMENT("log segment is missing", Remedy.REPAIR),
    /** The vote file is damaged. */
    DAMAGED_VOTE("damaged vote", Remedy.REPAIR),
    /** The identity file is damaged. */
    DAMAGED_IDENTITY("damaged identity", Remedy.REPAIR),
    /** The snapshot is damaged or incomplete. */
    DAMAGED_SNAPSHOT("damaged snapshot", Remedy.REPAIR),
    /** The file with the last synced index has damage before valid records, or no valid record. */
    DAMAGED_SYNC_MARK("damaged sync mark", Remedy.REPAIR),
    /** A file that every initialized data folder contains is missing. */
    MISSING_FILE("file is missing", Remedy.REPAIR),
    /** The data folder belongs to another node. */
    FOREIGN_FOLDER(
            "the data folder belongs to another node", "correct the node id or the data folder"),
    /** Another process uses the data folder. */
    FOLDER_IN_USE(
            "the data folder is in use", "stop the other process or choose another data folder"),
    /** The disk is full. */
    DISK_FULL("no space left", "free disk space and restart this process"),
    /** The operating system reported an error on a read or write. */
    IO("input or output error", "check the disk and restart this process, or repair the member"),
    /** The log is closed or an earlier write has failed. */
    UNUSABLE("the log does not accept writes after an error", "restart this process");

    private final String summary;
    private final String remedy;

    StorageErrorKind(String summary, String remedy) {
        this.summary = summary;
        this.remedy = remedy;
    }

    /** Returns a short description of the error. */
    public String summary() {
        return summary;
    }

    /** Returns what the operator can do about the error. */
    public String remedy() {
        return remedy;
    }

    private static final class Remedy {
        static final String REPAIR =
                "move the data folder aside, restart this process with an empty one and run"
                        + " `repair` so that it joins as a new member";

        private Remedy() {}
    }
}
