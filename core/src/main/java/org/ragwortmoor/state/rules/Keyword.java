package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.List;
import java.util.Locale;

/** The keywords that start a rule line, with their parameters. */
enum Keyword {
    SCOPE("GROUP PREFIX"),
    PARTNER("NAME GROUP PREFIX"),
    ALLOW("OPERATIONS session=PATTERN partner=NAME"),
    DENY("OPERATIONS session=PATTERN partner=NAME"),
    AGE("GROUP PREFIX DURATION");

    private final String parameters;

    Keyword(String parameters) {
        this.parameters = parameters;
    }

    static Option<Keyword> parse(String text) {
        for (Keyword keyword : values()) {
            if (keyword.text().equals(text)) {
                return Option.of(keyword);
            }
        }
        return Option.none();
    }

    String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    List<String> parameters() {
        return List.of(parameters.split(" "));
    }

    /** Returns the syntax of a line with this keyword, without its comment. */
    String usage() {
        return text() + " " + parameters;
    }
}
