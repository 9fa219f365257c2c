package org.ragwortmoor.state.rules;

/** What one line of the rule file states. */
public sealed interface Rule {
    /** Returns the line without its comment; parsing it gives an equal rule. */
    String text();

    /** Declares the records of {@code group} under {@code prefix} as ones that rules may forbid. */
    record Scope(String group, String prefix) implements Rule {
        @Override
        public String text() {
            return "scope " + Quoting.quote(group) + " " + Quoting.quote(prefix);
        }
    }

    /** States that the records of {@code group} under {@code prefix} belong to a partner. */
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

    /** Admits sessions to the records of a partner. */
    record Allow(Operations operations, SessionPattern session, String partner) implements Grant {
        @Override
        public String text() {
            return "allow " + arguments();
        }
    }

    /** Refuses sessions the records of a partner; wins over every {@code allow}. */
    record Deny(Operations operations, SessionPattern session, String partner) implements Grant {
        @Override
        public String text() {
            return "deny " + arguments();
        }
    }

    /**
     * States how old the data may be that reads of these records accept by default.
     *
     * @param millis oldest accepted age, in milliseconds
     */
    record Age(String group, String prefix, long millis) implements Rule {
        @Override
        public String text() {
            return "age "
                    + Quoting.quote(group)
                    + " "
                    + Quoting.quote(prefix)
                    + " "
                    + RuleDuration.print(millis);
        }
    }

    /** A line that admits or refuses sessions. */
    sealed interface Grant extends Rule permits Allow, Deny {
        /** Returns the operations that the line concerns. */
        Operations operations();

        /** Returns the sessions that the line concerns. */
        SessionPattern session();

        /** Returns the partner whose records the line concerns. */
        String partner();

        /** Returns whether the line concerns everything that {@code other} concerns. */
        default boolean covers(Grant other) {
            return partner().equals(other.partner())
                    && operations().covers(other.operations())
                    && session().covers(other.session());
        }

        /** Returns the words behind the keyword. */
        default String arguments() {
            return operations().text()
                    + " session="
                    + Quoting.quote(session().text())
                    + " partner="
                    + Quoting.quote(partner());
        }
    }
}
