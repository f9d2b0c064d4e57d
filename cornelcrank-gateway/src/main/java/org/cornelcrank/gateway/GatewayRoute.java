package org.cornelcrank.gateway;

import java.util.List;
import java.util.Objects;

import org.cornelcrank.core.Names;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/**
 * Says where the requests of a host and path prefix go, and how they may be treated.
 *
 * <p>{@code priority} ranks routes, 0 first. {@code timeoutMs} is the longest that a request is kept waiting, and
 * {@code latencyObjectiveMs} the time to the first event or the whole answer within which it is worth most. For batch jobs
 * {@code runObjectiveMs} is when all results are due and {@code itemRetentionMs} when an item may be given up, both from
 * the submission. Invariant: the prefix begins and ends with a slash, and there is at least one service. Immutable, thus
 * thread-safe.
 */
public record GatewayRoute(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        List<WeightedService> services,
        int priority,
        long timeoutMs,
        long latencyObjectiveMs,
        int maxAttempts,
        boolean resumable,
        boolean prefixAffinity,
        long runObjectiveMs,
        long itemRetentionMs) {

    public GatewayRoute {
        Names.requireName(name, "route name");
        Objects.requireNonNull(host, "host must not be null");
        Objects.requireNonNull(kind, "kind must not be null");
        services = List.copyOf(services);
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "pathPrefix must begin and end with a slash but was '" + pathPrefix + "'");
        }
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " must have at least one service");
        }
        if (timeoutMs <= 0 || maxAttempts <= 0) {
            throw new IllegalArgumentException("timeoutMs and maxAttempts of route " + name
                    + " must be above zero but were " + timeoutMs + " and " + maxAttempts);
        }
    }

    /** Returns the path under which the product's settings know this route's requests. */
    public TeamPath team() {
        return new TeamPath("/" + name);
    }

    /** Returns how urgent the requests are. */
    public Urgency urgency() {
        if (kind == RouteKind.BATCH) {
            return Urgency.BATCH;
        }
        return priority == 0 ? Urgency.IMMEDIATE : Urgency.INTERACTIVE;
    }

    /** Returns whether a request may run more than once, whole or from where it broke off. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
    }

    /** Returns the service of a request, by weight; equal hashes get the same service while the weights stay. */
    public ServiceName serviceFor(long hash) {
        long total = services.stream().mapToLong(WeightedService::weight).sum();
        if (total <= 0) {
            return services.get(0).service();
        }
        long drawn = Long.remainderUnsigned(hash, total);
        for (WeightedService candidate : services) {
            drawn -= candidate.weight();
            if (drawn < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
