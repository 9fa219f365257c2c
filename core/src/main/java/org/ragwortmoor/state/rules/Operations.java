package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/** The operations that an {@code allow} or {@code deny} line names. */
public enum Operations {
    /** {@code read}. */
    READ("read"),
    /** {@code write}. */
    WRITE("write"),
    /** {@code read,write}. */
    READ_WRITE("read,write");

    private final String text;

    Operations(String text) {
        this.text = text;
    }

    /** Returns the operations with the text form {@code text}, if there are any. */
    public static Option<Operations> parse(String text) {
        for (Operations value : values()) {
            if (value.text.equals(text)) {
                return Option.of(value);
            }
        }
        return Option.none();
    }

    /** Returns whether these operations include {@code access}. */
    public boolean includes(Access access) {
        return this == READ_WRITE || name().equals(access.name());
    }

    /** Returns whether these operations include every operation of {@code other}. */
    public boolean covers(Operations other) {
        return this == READ_WRITE || this == other;
    }

    /** Returns the text form in the rule file. */
    public String text() {
        return text;
    }
}
