package org.ragwortmoor.state.directory;

import io.vavr.control.Option;

/**
 * Rejects a server whose names are long, or cannot be sent as a word of the statement protocol.
 *
 * <p>The names are part of every update that the proxies receive.
 */
final class BoundedNames implements ServerRecordCheck {
    private static final int MAX_LENGTH = 255;

    @Override
    public Option<String> problem(ServerRecord server, long nowMillis) {
        return problem("id", server.id())
                .orElse(() -> problem("service", server.group()))
                .orElse(() -> problem("zone", server.failureDomain()));
    }

    private static Option<String> problem(String field, String name) {
        if (name.isEmpty() || name.length() > MAX_LENGTH) {
            return Option.some(
                    field + " has " + name.length() + " characters; give 1 to " + MAX_LENGTH);
        }
        boolean readable = name.chars().allMatch(c -> c > ' ' && c != '\u007f');
        return Option.when(
                !readable, () -> field + " has a blank or a control character; leave it out");
    }
}
