package org.ragwortmoor.coordination.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.statement.PreparedShape;

/** Session values and prepared statements of a caller, independent of server connections. */
final class SessionState {
    private final Map<String, String> values = new LinkedHashMap<>();
    private final Map<String, PreparedShape> prepared = new HashMap<>();

    Map<String, String> values() {
        return values;
    }

    Map<String, PreparedShape> prepared() {
        return prepared;
    }

    /**
     * Returns the statements that bring a connection to the state of this session, and records them
     * as executed on it. The connection must be closed if one of them fails.
     *
     * @param names names of prepared statements on servers
     * @param shape shape of the prepared statement to execute next, or null
     */
    List<String> setupStatements(
            ServerConnection connection, PreparedStatementNames names, PreparedShape shape) {
        List<String> statements = new ArrayList<>();
        boolean hasSurplusValues = !values.keySet().containsAll(connection.values().keySet());
        if (hasSurplusValues || !connection.valuesKnown()) {
            statements.add("RESET");
            connection.markReset();
        }
        values.forEach(
                (name, value) -> {
                    if (!value.equals(connection.values().put(name, value))) {
                        statements.add("SET " + name + " " + value);
                    }
                });
        if (shape != null && connection.prepared().add(names.nameOf(shape))) {
            statements.add(shape.prepareText(names.nameOf(shape)));
        }
        return statements;
    }
}
