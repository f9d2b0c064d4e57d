package org.cornelcrank.core;

import java.util.Objects;

/**
 * Identifies this daemon and the current run of its process.
 *
 * <p>{@code incarnation} is the start time in ms since the epoch. Immutable, thus thread-safe.
 */
public record DaemonIdentity(HostId host, long incarnation, Location location, String peerAddress) {

    public DaemonIdentity {
        Objects.requireNonNull(host, "host must not be null");
        Objects.requireNonNull(location, "location must not be null");
        Objects.requireNonNull(peerAddress, "peerAddress must not be null");
    }

    /** Returns the writer name that this run of the daemon uses in the log. */
    public String writer() {
        return host + "/" + Long.toString(incarnation, 36);
    }
}
