package org.cornelcrank.gateway;

import java.util.List;
import java.util.Objects;

import org.cornelcrank.core.Names;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/**
 * A route: the services that handle the requests to a host and path prefix, and the policy for these requests.
 *
 * <p>{@code priority} ranks routes, with 0 as the highest priority. {@code timeoutMs} is the time limit of a request,
 * and {@code latencyObjectiveMs} the objective for the time to the first event or the complete response. For batch
 * jobs, {@code runObjectiveMs} is the objective for the completion of all results and {@code itemRetentionMs} the time
 * after which an item may be given up, both counted from the submission. Invariants: the prefix begins and ends with a
 * slash, and there is at least one service. Immutable, thus thread-safe.
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

    /** Returns the team path under which the settings contain this route. */
    public TeamPath team() {
        return new TeamPath("/" + name);
    }

    /** Returns the urgency of this route's requests. */
    public Urgency urgency() {
        if (kind == RouteKind.BATCH) {
            return Urgency.BATCH;
        }
        return priority == 0 ? Urgency.IMMEDIATE : Urgency.INTERACTIVE;
    }

    /** Returns whether a request may run more than once, either from the start or resumed after an interruption. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
    }

    /** Selects the service of a request by weight; equal hashes select the same service unless the weights change. */
    public ServiceName serviceFor(long hash) {
        long total = services.stream().mapToLong(WeightedService::weight).sum();
        if (total <= 0) {
            return services.get(0).service();
        }
        long position = Long.remainderUnsigned(hash, total);
        for (WeightedService candidate : services) {
            position -= candidate.weight();
            if (position < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
