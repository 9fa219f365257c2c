package org.ragwortmoor.state.statement;

import java.nio.charset.StandardCharsets;

/**
 * Converts names of the configuration to message fields.
 *
 * <p>Each character of a message stands for one byte. Callers and servers know the names as UTF-8.
 */
public final class NameField {
    private NameField() {}

    /**
     * Returns the field for a name; a name that UTF-8 cannot encode is returned unchanged and
     * equals no field.
     */
    public static String format(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        if (bytes.length == name.length()) {
            return name;
        }
        boolean exact = new String(bytes, StandardCharsets.UTF_8).equals(name);
        return exact ? new String(bytes, StandardCharsets.ISO_8859_1) : name;
    }
}
