package org.ragwortmoor.directory;

import org.ragwortmoor.coordination.directory.ServerStatus;

/** An instruction to a server, and how the server's status shows that it has taken effect. */
sealed interface ServerInstruction {
    /** Returns the statement for a server whose term is at least {@code term}. */
    String statement(long term);

    /** Returns whether the instruction has taken effect. */
    boolean effective(ServerStatus status);

    /** Returns whether a server without a status is reported with its applied position. */
    default boolean acceptsAppliedPosition() {
        return false;
    }

    /** Only asks for the status. */
    record Inspection() implements ServerInstruction {
        @Override
        public String statement(long term) {
            return "STATUS";
        }

        @Override
        public boolean effective(ServerStatus status) {
            return true;
        }

        @Override
        public boolean acceptsAppliedPosition() {
            return true;
        }
    }

    /** Stops the replication to a replica. */
    record Suspension(long aboveTerm) implements ServerInstruction {
        @Override
        public String statement(long term) {
            return "SUSPEND " + (Math.max(aboveTerm, term) + 1);
        }

        @Override
        public boolean effective(ServerStatus status) {
            // A primary cannot be suspended; its status says so.
            return status.primary() || status.suspended();
        }
    }

    /** Makes a primary a replica; it takes effect only with a term above that of the primary. */
    record StepDown() implements ServerInstruction {
        @Override
        public String statement(long term) {
            return "STEPDOWN " + (term + 1);
        }

        @Override
        public boolean effective(ServerStatus status) {
            return !status.primary();
        }
    }

    /** Resumes the replication to a replica. */
    record Resumption() implements ServerInstruction {
        @Override
        public String statement(long term) {
            return "RESUME";
        }

        @Override
        public boolean effective(ServerStatus status) {
            return !status.suspended();
        }
    }
}
