package org.cornelcrank.core;

import java.util.Objects;

/**
 * Identifies a request, made by a caller or by a state machine, uniquely across all daemons and their restarts.
 *
 * <p>Immutable, thus thread-safe.
 */
public record RequestId(HostId host, long incarnation, long number) {

    public RequestId {
        Objects.requireNonNull(host, "host must not be null");
    }

    /**
     * Parses the text form {@code host/incarnation/number}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static RequestId parse(String text) {
        String[] parts = text.split("/");
        if (parts.length != 3) {
            throw new IllegalArgumentException(
                    "request id must look like host/incarnation/number but was '" + text + "'");
        }
        return new RequestId(new HostId(parts[0]), Long.parseLong(parts[1], 36), Long.parseLong(parts[2], 36));
    }

    @Override
    public String toString() {
        return host + "/" + Long.toString(incarnation, 36) + "/" + Long.toString(number, 36);
    }
}
