package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Map;

/**
 * What a command may use of its process.
 *
 * @param out results
 * @param err messages
 * @param environment environment variables
 */
public record Console(PrintStream out, PrintStream err, Map<String, String> environment) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Returns an empty JSON object. */
    public static ObjectNode object() {
        return JSON.createObjectNode();
    }

    /** Prints a value on one line. */
    public void printJson(JsonNode value) {
        out.println(value);
    }

    /** Prints a value as indented {@code name: value} lines. */
    public void printText(JsonNode value) {
        printText(value, "");
    }

    private void printText(JsonNode value, String indent) {
        if (value.isObject()) {
            value.fields().forEachRemaining(f -> printField(f.getKey(), f.getValue(), indent));
        } else if (value.isArray()) {
            value.forEach(item -> printField("-", item, indent));
        } else {
            out.println(indent + value.asText());
        }
    }

    private void printField(String name, JsonNode value, String indent) {
        String label = indent + (name.equals("-") ? "-" : name + ":");
        if (value.isContainerNode()) {
            out.println(label);
            printText(value, indent + "  ");
        } else {
            out.println(label + " " + value.asText());
        }
    }
}
