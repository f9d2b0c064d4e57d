package org.cornelcrank.server.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;

import io.netty.util.NetUtil;

/**
 * Parses and formats addresses of the form {@code ip:port}.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class SocketAddresses {

    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /**
     * Parses an address without resolving names.
     *
     * @param text the address, with an IPv6 address in brackets
     * @return the address
     * @throws IllegalArgumentException if the text has a different form
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0
                || !NetUtil.isValidIpV4Address(text.substring(0, colon))
                        && !NetUtil.isValidIpV6Address(text.substring(0, colon))) {
            throw new IllegalArgumentException(
                    "address must look like 127.0.0.1:7000 or [::1]:7000 but was '" + text + "'");
        }
        try {
            byte[] ipBytes = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
            return new InetSocketAddress(InetAddress.getByAddress(ipBytes), port(text, colon));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("address must contain an IP address but was '" + text + "'", e);
        }
    }

    /**
     * Formats an address so that {@link #parse} can read it.
     *
     * @param address the address
     * @return its text
     */
    public static String format(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }

    /**
     * Returns the address, with port 0 replaced by a free port.
     *
     * @param address the address
     * @return the address itself if its port is not 0
     * @throws IOException if no port is free
     */
    public static InetSocketAddress withFreePort(InetSocketAddress address) throws IOException {
        if (address.getPort() != 0) {
            return address;
        }
        try (ServerSocket socket = new ServerSocket(0, 1, address.getAddress())) {
            return new InetSocketAddress(address.getAddress(), socket.getLocalPort());
        }
    }

    private static int port(String text, int colon) {
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port >= 0 && port <= MAX_PORT) {
                return port;
            }
        } catch (NumberFormatException e) {
            // Falls through to the error below, as for a number out of range.
        }
        throw new IllegalArgumentException("port must be 0 to " + MAX_PORT + " in '" + text + "'");
    }
}
