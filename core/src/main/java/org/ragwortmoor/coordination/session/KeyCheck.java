package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.coordination.workspace.KeyAuthority;
import org.ragwortmoor.coordination.workspace.WorkspaceKeys;
import org.ragwortmoor.state.workspace.Workspace;

/** Decides by its key to which workspace a caller belongs, and whether it may be served. */
final class KeyCheck {
    private final SessionHost host;
    private final KeyAuthority authority = new KeyAuthority();
    private WorkspaceKeys keys = WorkspaceKeys.NONE;

    /** Result of a check. */
    enum Outcome {
        PERMITTED,
        /** No workspace has the key. */
        UNKNOWN,
        /** The known keys are too old to decide. */
        UNCONFIRMED
    }

    /**
     * A decision about a caller.
     *
     * @param workspace name of its workspace; empty if it has none
     */
    record Decision(Outcome outcome, String workspace) {}

    KeyCheck(SessionHost host) {
        this.host = host;
    }

    KeyAuthority authority() {
        return authority;
    }

    /** Replaces the workspaces; none if callers need no keys. */
    void setWorkspaces(Option<List<Workspace>> workspaces) {
        keys = new WorkspaceKeys(workspaces);
    }

    /**
     * Decides about a caller at this moment.
     *
     * @param key key that the caller has sent; empty if it has sent none
     * @param exempt whether callers of its route need no key
     */
    Decision decide(String key, boolean exempt) {
        if (!keys.required()) {
            return new Decision(Outcome.PERMITTED, "");
        }
        Option<String> workspace = keys.workspaceOf(key);
        if (workspace.isEmpty() && exempt) {
            return new Decision(Outcome.PERMITTED, "");
        }
        long now = host.now();
        if (workspace.isEmpty()) {
            boolean certain = authority.current(now, clockOffset(now));
            return new Decision(certain ? Outcome.UNKNOWN : Outcome.UNCONFIRMED, "");
        }
        // A withdrawn key must not run under its former workspace, even on a key-exempt route.
        return authority.permits(now, clockOffset(now))
                ? new Decision(Outcome.PERMITTED, workspace.get())
                : new Decision(Outcome.UNCONFIRMED, "");
    }

    /** Returns whether callers are, or may soon be, refused because the keys are unconfirmed. */
    boolean needsConfirmation() {
        long now = host.now();
        return keys.required() && !authority.current(now, clockOffset(now));
    }

    /** Returns a line for the state dump, if callers need keys. */
    Option<String> describe() {
        return Option.when(keys.required(), () -> keys + " confirmed=" + !needsConfirmation());
    }

    private long clockOffset(long now) {
        return host.wallMillis() - now / 1_000_000;
    }
}
