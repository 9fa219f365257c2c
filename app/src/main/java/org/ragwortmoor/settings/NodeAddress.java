package org.ragwortmoor.settings;

import io.vavr.control.Either;

/**
 * The identifier and address of a control process.
 *
 * @param id identifier of the process
 * @param address its address
 */
public record NodeAddress(String id, Address address) {
    /**
     * Reads {@code ID@IP:PORT}.
     *
     * @return the identifier and address, or what is wrong with the text
     */
    public static Either<String, NodeAddress> parse(String text) {
        int at = text.indexOf('@');
        if (at < 0) {
            return Either.left("'" + text + "' has no '@' between identifier and address");
        }
        return ValueTypes.NAME
                .parse(text.substring(0, at))
                .flatMap(
                        id ->
                                Address.parse(text.substring(at + 1))
                                        .map(address -> new NodeAddress(id, address)));
    }

    @Override
    public String toString() {
        return id + "@" + address;
    }
}
