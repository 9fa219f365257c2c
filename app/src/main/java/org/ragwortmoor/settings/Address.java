package org.ragwortmoor.settings;

import io.netty.util.NetUtil;
import io.vavr.control.Either;
import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * An IP number and a port.
 *
 * @param ip IPv4 or IPv6 number
 * @param port TCP port, 1 to 65535; 0 only where a free port is to be chosen
 */
public record Address(InetAddress ip, int port) {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_BYTE = 255;
    private static final int IPV4_BYTES = 4;

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
        InetAddress ip = bracketed ? ipv6(host.substring(1, host.length() - 1)) : ipv4(host);
        if (ip == null) {
            return Either.left("'" + host + "' is no IP number");
        }
        return port(text.substring(colon + 1)).map(port -> new Address(ip, port));
    }

    private static InetAddress ipv6(String text) {
        return text.contains(":") ? NetUtil.createInetAddressFromIpAddressString(text) : null;
    }

    /** Reads an IPv4 number without the network library, whose setup takes part of a start. */
    private static InetAddress ipv4(String text) {
        String[] parts = text.split("\\.", -1);
        byte[] number = new byte[IPV4_BYTES];
        if (parts.length != IPV4_BYTES) {
            return null;
        }
        for (int i = 0; i < IPV4_BYTES; i++) {
            int value = decimal(parts[i], MAX_BYTE);
            if (value < 0) {
                return null;
            }
            number[i] = (byte) value;
        }
        try {
            return InetAddress.getByAddress(number);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are an IPv4 number", e);
        }
    }

    /** Returns a decimal number of at most {@code largest} and no more digits, or -1. */
    private static int decimal(String text, int largest) {
        boolean digits = !text.isEmpty() && text.length() <= Integer.toString(largest).length();
        for (int i = 0; i < text.length(); i++) {
            digits &= text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        int value = digits ? Integer.parseInt(text) : -1;
        return value <= largest ? value : -1;
    }

    private static Either<String, Integer> port(String text) {
        int port = decimal(text, MAX_PORT);
        return port >= 0 ? Either.right(port) : Either.left("'" + text + "' is no port");
    }

    /** Returns the address for use with sockets. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(ip, port);
    }

    @Override
    public String toString() {
        return ip instanceof Inet4Address
                ? ip.getHostAddress() + ":" + port
                : NetUtil.toSocketAddressString(socketAddress());
    }
}
