package org.cornelcrank.standin;

import java.util.List;

/**
 * An entry of the platform's host list.
 *
 * <p>{@code role} is {@code entry} or {@code target}. Immutable, thus thread-safe.
 */
public record ListedHost(
        String name,
        String role,
        String region,
        String dataCentre,
        String address,
        List<String> services,
        boolean leaving) {

    public ListedHost {
        services = services == null ? List.of() : List.copyOf(services);
    }
}
