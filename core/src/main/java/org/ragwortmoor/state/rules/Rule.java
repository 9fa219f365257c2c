package org.ragwortmoor.state.rules;

/** The content of one line of the rule file. */
public sealed interface Rule {
    /** Returns the line without its comment; parsing it gives an equal rule. */
    String text();

    /** Declares that rules may forbid access to records of {@code group} under {@code prefix}. */
    record Scope(String group, String prefix) implements Rule {
        @Override
        public String text() {
            return "scope " + Quoting.quote(group) + " " + Quoting.quote(prefix);
        }
    }

    /** Declares that the records of {@code group} under {@code prefix} belong to a partner. */
    record Partner(String name, String group, String prefix) implements Rule {
        @Override
        public String text() {
            return "partner "
                    + Quoting.quote(name)
                    + " "
                    + Quoting.quote(group)
                    + " "
                    + Quoting.quote(prefix);
        }
    }

    /** Allows sessions to access the records of a partner. */
    record Allow(Operations operations, SessionPattern session, String partner)
            implements AccessRule {
        @Override
        public String text() {
            return "allow " + arguments();
        }
    }

    /** Denies sessions access to the records of a partner; overrides every {@code allow} line. */
    record Deny(Operations operations, SessionPattern session, String partner)
            implements AccessRule {
        @Override
        public String text() {
            return "deny " + arguments();
        }
    }

    /**
     * Sets the maximum staleness that reads of these records accept by default.
     *
     * @param millis maximum accepted age, in milliseconds
     */
    record Age(String group, String prefix, long millis) implements Rule {
        @Override
        public String text() {
            return "age "
                    + Quoting.quote(group)
                    + " "
                    + Quoting.quote(prefix)
                    + " "
                    + RuleDuration.format(millis);
        }
    }

    /** A line that allows or denies sessions access. */
    sealed interface AccessRule extends Rule permits Allow, Deny {
        /** Returns the operations to which the line applies. */
        Operations operations();

        /** Returns the sessions to which the line applies. */
        SessionPattern session();

        /** Returns the partner to whose records the line applies. */
        String partner();

        /** Returns whether this line applies to everything to which {@code other} applies. */
        default boolean covers(AccessRule other) {
            return partner().equals(other.partner())
                    && operations().covers(other.operations())
                    && session().covers(other.session());
        }

        /** Returns the words after the keyword. */
        default String arguments() {
            return operations().text()
                    + " session="
                    + Quoting.quote(session().text())
                    + " partner="
                    + Quoting.quote(partner());
        }
    }
}
