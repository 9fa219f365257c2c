package org.ragwortmoor.coordination.session;

import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.NameField;
import org.ragwortmoor.state.statement.StatementMessage;

/** The message that starts a connection to a server. */
final class ServerHandshake {
    /** What servers are told on connections that belong to no workspace. */
    private static final String NO_WORKSPACE = "ragwortmoor";

    private ServerHandshake() {}

    /** Returns the message for a connection of a workspace, or of none if the name is empty. */
    static StatementMessage message(ServerRecord server, String workspace) {
        String name = workspace.isEmpty() ? NO_WORKSPACE : NameField.format(workspace);
        return StatementMessage.of(MessageKind.CONNECT, server.group(), name, server.id());
    }
}
