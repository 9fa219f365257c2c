package org.ragwortmoor.coordination.session;

import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.state.statement.PreparedShape;

/**
 * Names of prepared statements on server connections. Equal shapes share a name, so that sessions
 * whose own names collide can use the same connection.
 */
final class PreparedNames {
    private final Map<PreparedShape, String> names = new HashMap<>();

    String of(PreparedShape shape) {
        return names.computeIfAbsent(shape, s -> "p" + names.size());
    }
}
