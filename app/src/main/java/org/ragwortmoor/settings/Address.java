package org.ragwortmoor.settings;

import io.netty.util.NetUtil;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * An IP number and a port.
 *
 * @param ip IPv4 or IPv6 number
 * @param port TCP port, 1 to 65535; 0 only where a free port is to be chosen
 */
public record Address(InetAddress ip, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Reads {@code IP:PORT}; IPv6 numbers stand in brackets. Host names are refused, because a name
     * service would be a further part that can fail.
     *
     * @return the address, or what is wrong with the text
     */
    public static Either<String, Address> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            return Either.left("'" + text + "' has no port");
        }
        String host = text.substring(0, colon);
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        String number = bracketed ? host.substring(1, host.length() - 1) : host;
        InetAddress ip =
                bracketed == number.contains(":")
                        ? NetUtil.createInetAddressFromIpAddressString(number)
                        : null;
        if (ip == null) {
            return Either.left("'" + host + "' is no IP number");
        }
        return port(text.substring(colon + 1)).map(port -> new Address(ip, port));
    }

    private static Either<String, Integer> port(String text) {
        boolean digits = !text.isEmpty() && text.length() <= 5;
        for (int i = 0; i < text.length(); i++) {
            digits &= text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        return digits && Integer.parseInt(text) <= MAX_PORT
                ? Either.right(Integer.parseInt(text))
                : Either.left("'" + text + "' is no port");
    }

    /** Returns the address for use with sockets. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(ip, port);
    }

    @Override
    public String toString() {
        return NetUtil.toSocketAddressString(socketAddress());
    }
}
