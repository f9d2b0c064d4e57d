package org.cornelcrank.config;

import java.util.List;
import java.util.Set;

import org.cornelcrank.core.ServiceName;

/**
 * What the settings say of one service.
 *
 * <p>Invariant: {@code repeatableRoutes} matters for {@link ServiceKind#PLAIN} only; what it does not name may not be
 * repeated. Immutable, thus thread-safe.
 */
public record ServicePolicy(
        ServiceName service,
        ServiceKind kind,
        List<RepeatableRoute> repeatableRoutes,
        long attemptTimeoutMs,
        String version,
        Set<String> adapters,
        int replicas) {

    public ServicePolicy {
        repeatableRoutes = List.copyOf(repeatableRoutes);
        adapters = Set.copyOf(adapters);
    }
}
