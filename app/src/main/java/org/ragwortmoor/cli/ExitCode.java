package org.ragwortmoor.cli;

/** Exit codes of all commands, documented in {@code docs/commands.md}. */
public enum ExitCode {
    /** The command did what was asked. */
    OK(0),
    /** The command was refused; nothing was done. */
    REFUSED(1),
    /** The arguments or settings are wrong. */
    USAGE(2),
    /** A file, address or process cannot be used; nothing was done. */
    ENVIRONMENT(3),
    /** It is not known whether the command was carried out. */
    UNKNOWN(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the code of the process. */
    public int code() {
        return code;
    }
}
