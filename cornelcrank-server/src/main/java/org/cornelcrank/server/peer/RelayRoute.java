package org.cornelcrank.server.peer;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;

/**
 * The way to a target through a peer at its present address.
 *
 * <p>Immutable, thus thread-safe.
 */
public record RelayRoute(HostId relay, InetSocketAddress address, TargetId target) {

    public RelayRoute {
        Objects.requireNonNull(relay, "relay must not be null");
        Objects.requireNonNull(address, "address must not be null");
        Objects.requireNonNull(target, "target must not be null");
    }
}
