package org.cornelcrank.core;

import java.util.Objects;
import java.util.Set;

/**
 * One entry of the platform's host list, which lags behind the actual state.
 *
 * <p>{@code address} is the peer address of an entry host or the HTTP address of a target; {@code services} lists the
 * services that a target offers. Immutable, thus thread-safe.
 */
public record HostEntry(
        String name, HostRole role, Location location, String address, Set<ServiceName> services, boolean leaving) {

    public HostEntry {
        Names.requireName(name, "host name");
        Objects.requireNonNull(role, "role must not be null");
        Objects.requireNonNull(location, "location must not be null");
        Objects.requireNonNull(address, "address must not be null");
        services = Set.copyOf(services);
    }
}
