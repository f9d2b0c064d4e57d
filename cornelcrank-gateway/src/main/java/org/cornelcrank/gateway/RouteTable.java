package org.cornelcrank.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * All routes of one version.
 *
 * <p>Immutable, thus thread-safe.
 */
public final class RouteTable {

    private final long version;
    private final List<GatewayRoute> routes;
    private final RequestLimits limits;
    private final Map<String, List<GatewayRoute>> byHost = new HashMap<>();

    /** Creates a table of the routes, which may be in any order. */
    public RouteTable(long version, List<GatewayRoute> routes, RequestLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.limits = Objects.requireNonNull(limits, "limits must not be null");
        for (GatewayRoute route : routes) {
            byHost.computeIfAbsent(lowerCase(route.host()), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<GatewayRoute> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        byHost.values().forEach(hostRoutes -> hostRoutes.sort(longestFirst));
    }

    /** Returns the version, which increases with each change. */
    public long version() {
        return version;
    }

    public List<GatewayRoute> routes() {
        return routes;
    }

    /** Returns the limits of callers' requests. */
    public RequestLimits limits() {
        return limits;
    }

    /** Returns the host's route with the longest prefix that matches the path, empty if there is none. */
    public Optional<GatewayRoute> select(String host, String path) {
        return byHost.getOrDefault(lowerCase(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    private static String lowerCase(String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
