package org.ragwortmoor.coordination.session;

import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.state.statement.PreparedShape;

/**
 * Assigns names to prepared statements on server connections. Statements of equal shape share a
 * name, so that sessions can use the same connection even if their own names collide.
 */
final class PreparedStatementNames {
    private final Map<PreparedShape, String> names = new HashMap<>();

    String nameOf(PreparedShape shape) {
        return names.computeIfAbsent(shape, s -> "p" + names.size());
    }
}
