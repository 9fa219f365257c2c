package org.ragwortmoor.state.statement;

/**
 * What a prepared statement does.
 *
 * @param writes whether it writes
 * @param shape the shape that servers understand
 */
public record PreparedShape(boolean writes, String shape) {
    /** Returns the text that prepares it under a name. */
    public String prepareText(String name) {
        return "PREPARE " + name + (writes ? " WRITE " : " READ ") + shape;
    }
}
