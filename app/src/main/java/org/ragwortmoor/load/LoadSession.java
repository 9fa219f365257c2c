package org.ragwortmoor.load;

/** A session with one request at a time. Confined to the loop of the callers. */
final class LoadSession {
    private final String name;
    private String token = "";

    LoadSession(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    /** Returns the token; empty until the session is open. */
    String token() {
        return token;
    }

    void token(String newest) {
        if (!newest.isEmpty()) {
            token = newest;
        }
    }
}
