package org.ragwortmoor.coordination.session;

import java.util.function.Consumer;

/** The link to a proxy that executes statements for this one. */
public interface HolderLink {
    /**
     * Returns whether the other proxy is connected or being connected, and answers. If it is not, a
     * new attempt to connect is made after a pause.
     */
    boolean usable();

    /**
     * Sends a statement.
     *
     * @param listener receives the result, once, unless the stream is ended before
     */
    void execute(ForwardedStatement statement, Consumer<ForwardedResult> listener);

    /** Ends a stream: its statement is abandoned, its transaction rolled back. */
    void end(long stream);
}
