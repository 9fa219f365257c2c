package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/**
 * The person who requested a line, and the reason.
 *
 * @param name name of the requester
 * @param reason reason of the request, if stated
 */
public record Requester(String name, Option<String> reason) {
    private static final String PREFIX = "requested by";

    /**
     * Parses the comment of a line.
     *
     * @param comment comment with its {@code #}
     * @return the requester, if the comment names one
     */
    static Option<Requester> parse(String comment) {
        String text = comment.substring(1).strip();
        if (!text.startsWith(PREFIX)) {
            return Option.none();
        }
        String rest = text.substring(PREFIX.length());
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

    /** Returns the comment with which a line states this requester. */
    public String text() {
        return "# " + PREFIX + " " + description();
    }

    /** Returns name and reason. */
    public String description() {
        return name + reason.map(r -> ": " + r).getOrElse("");
    }
}
