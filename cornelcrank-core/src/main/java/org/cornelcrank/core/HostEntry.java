package org.cornelcrank.core;

import java.util.Objects;
import java.util.Set;

/**
 * One entry of the platform's host list, which lags behind the actual state.
 *
 * <p>{@code address} is the peer address of an entry host or the HTTP address of a target; {@code services} lists the
 * services that a target offers. {@code incarnation} differs between two starts of a host under the same name, and is
 * zero if the list does not state it. {@code softwareVersion} is that of a target. Immutable, thus thread-safe.
 */
public record HostEntry(
        String name,
        HostRole role,
        Location location,
        String address,
        Set<ServiceName> services,
        boolean leaving,
        long incarnation,
        SoftwareVersion softwareVersion) {

    /** Creates an entry of a list that states neither incarnations nor versions. */
    public HostEntry(
            String name, HostRole role, Location location, String address, Set<ServiceName> services, boolean leaving) {
        this(name, role, location, address, services, leaving, 0, SoftwareVersion.UNSTATED);
    }

    public HostEntry {
        Names.requireName(name, "host name");
        Objects.requireNonNull(role, "role must not be null");
        Objects.requireNonNull(location, "location must not be null");
        Objects.requireNonNull(address, "address must not be null");
        Objects.requireNonNull(softwareVersion, "softwareVersion must not be null");
        services = Set.copyOf(services);
    }
}
