package org.ragwortmoor.handback;

import org.ragwortmoor.cli.ExitCode;

/** Ends an export with a message that names the remedy. */
class HandBackException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    HandBackException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /** Returns the exit code of the command. */
    ExitCode exitCode() {
        return exitCode;
    }
}
