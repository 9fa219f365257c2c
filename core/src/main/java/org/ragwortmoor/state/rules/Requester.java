package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/**
 * Who requested a line, and why.
 *
 * @param name name of the requester
 * @param reason reason, if one is stated
 */
public record Requester(String name, Option<String> reason) {
    private static final String INTRODUCTION = "requested by";

    /**
     * Reads a comment.
     *
     * @param comment comment with its {@code #}
     * @return the requester, if the comment names one
     */
    static Option<Requester> parse(String comment) {
        String text = comment.substring(1).strip();
        if (!text.startsWith(INTRODUCTION)) {
            return Option.none();
        }
        String rest = text.substring(INTRODUCTION.length());
        if (rest.isEmpty() || !Character.isWhitespace(rest.charAt(0))) {
            return Option.none();
        }
        int colon = rest.indexOf(':');
        String name = (colon < 0 ? rest : rest.substring(0, colon)).strip();
        String reason = colon < 0 ? "" : rest.substring(colon + 1).strip();
        return name.isEmpty()
                ? Option.none()
                : Option.of(new Requester(name, Option.of(reason).filter(r -> !r.isEmpty())));
    }

    /** Returns the comment of the line. */
    public String text() {
        return "# " + INTRODUCTION + " " + description();
    }

    /** Returns name and reason. */
    public String description() {
        return name + reason.map(r -> ": " + r).getOrElse("");
    }
}
