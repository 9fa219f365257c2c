package org.ragwortmoor.state.statement;

/**
 * The content of a prepared statement.
 *
 * @param writes whether it writes
 * @param shape statement shape, which only servers interpret
 */
public record PreparedShape(boolean writes, String shape) {
    /** Returns the text of the statement that prepares this one under {@code name}. */
    public String prepareText(String name) {
        return "PREPARE " + name + (writes ? " WRITE " : " READ ") + shape;
    }
}
