package org.ragwortmoor.state.directory;

import io.vavr.control.Option;

/** Rejects a server at an address that no connection can be opened to. */
final class UsablePort implements ServerRecordCheck {
    private static final int MAX_PORT = 65_535;

    @Override
    public Option<String> problem(ServerRecord server, long nowMillis) {
        String address = server.address();
        int port = port(address.substring(address.lastIndexOf(':') + 1));
        return Option.when(
                port < 1 || port > MAX_PORT,
                () -> "address has no usable port; give one from 1 to " + MAX_PORT);
    }

    private static int port(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            // Such a port is not usable, as the caller reports.
            return 0;
        }
    }
}
