package org.ragwortmoor.coordination.consensus;

/** Why a proposal was refused; each kind names its remedy. */
public enum RefusalKind {
    /** Another node leads or none does. */
    NOT_LEADER("ask the leader, or wait for an election"),
    /** The leader has not heard from a majority recently. */
    NO_QUORUM("restore the named members or their network"),
    /** Too many entries wait for a majority. */
    OVERLOADED("send it again later"),
    /** The command is larger than the limit. */
    TOO_LARGE("split the command"),
    /** Leadership is being handed over. */
    STOPPING("ask the next leader"),
    /** A write has failed on this node. */
    STORAGE_FAILED("free or replace the disk and restart the process, or repair the member"),
    /** An earlier membership change is not committed yet. */
    CHANGE_IN_PROGRESS("send it again after the earlier change"),
    /** The membership change does not fit the configuration. */
    INVALID_CHANGE("read the members and correct the change");

    private final String remedy;

    RefusalKind(String remedy) {
        this.remedy = remedy;
    }

    /** Returns what the sender can do. */
    public String remedy() {
        return remedy;
    }
}
