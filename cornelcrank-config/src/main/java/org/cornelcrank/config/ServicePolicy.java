package org.cornelcrank.config;

import java.util.List;
import java.util.Set;

import org.cornelcrank.core.ServiceName;

/**
 * The settings of one service.
 *
 * <p>{@code repeatableRoutes} applies to {@link ServiceKind#PLAIN} only; calls that it does not match must not be
 * retried. Immutable, thus thread-safe.
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
