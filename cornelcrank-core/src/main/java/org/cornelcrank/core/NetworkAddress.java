package org.cornelcrank.core;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IPv4 address and a port to which a connection can be opened.
 *
 * <p>Invariant: each part of the IP address is 0 to 255, the port 1 to 65535. Immutable, thus thread-safe.
 */
public record NetworkAddress(String ip, int port) {

    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;
    private static final Pattern IP = Pattern.compile("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})");
    private static final Pattern TEXT = Pattern.compile("([0-9.]{7,15}):([0-9]{1,5})");

    public NetworkAddress {
        Objects.requireNonNull(ip, "ip must not be null");
        if (!isIp(ip)) {
            throw new IllegalArgumentException("ip must look like 10.0.0.1 but was '" + ip + "'");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port must be 1 to " + MAX_PORT + " but was " + port);
        }
    }

    /**
     * Parses an address of the form {@code 10.0.0.1:8080}.
     *
     * @throws IllegalArgumentException if the text is null, has another form or a number out of range
     */
    public static NetworkAddress parse(String text) {
        Matcher matcher = TEXT.matcher(text == null ? "" : text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("address must look like 10.0.0.1:8080");
        }
        return new NetworkAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
    }

    private static boolean isIp(String text) {
        Matcher matcher = IP.matcher(text);
        if (!matcher.matches()) {
            return false;
        }
        for (int group = 1; group <= matcher.groupCount(); group++) {
            if (Integer.parseInt(matcher.group(group)) > MAX_OCTET) {
                return false;
            }
        }
        return true;
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
