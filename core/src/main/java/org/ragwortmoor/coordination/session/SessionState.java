package org.ragwortmoor.coordination.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.statement.PreparedShape;

/** Values and prepared names of a caller's session, which outlive its server connections. */
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
     * Returns the statements that make a connection fit the session, and notes them as done on it.
     * The caller closes the connection if one of them fails.
     *
     * @param names server names of prepared shapes
     * @param needed shape that the next statement runs, or null
     */
    List<String> stepsFor(ServerConnection connection, PreparedNames names, PreparedShape needed) {
        List<String> steps = new ArrayList<>();
        boolean surplus = !values.keySet().containsAll(connection.values().keySet());
        if (surplus || !connection.valuesKnown()) {
            steps.add("RESET");
            connection.cleared();
        }
        values.forEach(
                (name, value) -> {
                    if (!value.equals(connection.values().put(name, value))) {
                        steps.add("SET " + name + " " + value);
                    }
                });
        if (needed != null && connection.prepared().add(names.of(needed))) {
            steps.add(needed.prepareText(names.of(needed)));
        }
        return steps;
    }
}
