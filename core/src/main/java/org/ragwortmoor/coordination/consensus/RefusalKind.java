package org.ragwortmoor.coordination.consensus;

/** Reasons for which a proposal is refused, each with its remedy. */
public enum RefusalKind {
    /** This node is not the leader. */
    NOT_LEADER("send the request to the leader, or retry after the election"),
    /** The leader's lease has expired, because a majority has not answered recently. */
    NO_QUORUM("restore the listed members or their network"),
    /** Too many entries are uncommitted. */
    OVERLOADED("retry later"),
    /** The command exceeds the size limit. */
    TOO_LARGE("split the command"),
    /** The leader is transferring leadership. */
    STOPPING("send the request to the next leader"),
    /** A write failed on this node. */
    STORAGE_FAILED(
            "free disk space or replace the disk and restart the process, or repair the member"),
    /** An earlier membership change is not committed yet. */
    CHANGE_IN_PROGRESS("retry after the earlier change is committed"),
    /** The membership change is invalid for the current configuration. */
    INVALID_CHANGE("check the current members and correct the change");

    private final String remedy;

    RefusalKind(String remedy) {
        this.remedy = remedy;
    }

    /** Returns the action that the sender or operator can take. */
    public String remedy() {
        return remedy;
    }
}
