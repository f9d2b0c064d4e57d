package org.cornelcrank.core;

import java.util.Objects;
import java.util.Set;

/**
 * One row of the platform's host list, which lags behind what it describes.
 *
 * <p>For an entry host {@code address} is the address for peers; for a target it is the HTTP address, and
 * {@code services} names what it offers. Immutable, thus thread-safe.
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
