package org.cornelcrank.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.cornelcrank.config.ApiKeyEntry;
import org.cornelcrank.config.ServiceKind;
import org.cornelcrank.config.ServicePolicy;
import org.cornelcrank.config.Settings;
import org.cornelcrank.config.TargetPolicy;
import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;

/**
 * Shows the routes in force to the duties, each as a team of its own.
 *
 * <p>Invariant: the version never goes back. {@link #table()} may be called from any thread, all else is confined to the
 * daemon's event loop.
 */
public final class RouteTableSettings implements Settings {

    /** Weight of a route's jobs against those of other routes. */
    private static final int EQUAL_SHARE = 1;

    private final RegionId region;
    private final List<SettingsListener> listeners = new ArrayList<>();
    private final Map<TargetId, Integer> slots = new HashMap<>();
    private Map<TeamPath, TeamPolicy> policies = Map.of();
    private Set<ServiceName> services = Set.of();
    private volatile RouteTable table;

    /** Creates settings without any route. */
    public RouteTableSettings(RegionId region) {
        this.region = Objects.requireNonNull(region, "region must not be null");
    }

    /** Returns the table in force, empty before the first is known. */
    public Optional<RouteTable> table() {
        return Optional.ofNullable(table);
    }

    /** Puts a table in force unless a newer one is; returns whether it did. */
    public boolean install(RouteTable newer, long nowMs, Effects out) {
        RouteTable before = table;
        if (before != null && newer.version() <= before.version()) {
            return false;
        }
        policies = new LinkedHashMap<>();
        newer.routes().forEach(route -> policies.put(route.team(), policy(route)));
        services = services(newer.routes());
        table = newer;
        listeners.forEach(listener -> listener.settingsChanged(nowMs, out));
        return true;
    }

    /** Takes over how many requests each target runs at once. */
    void slots(Collection<TargetEntry> targets) {
        slots.clear();
        targets.forEach(target -> slots.put(target.target(), target.slots()));
    }

    @Override
    public long version() {
        return table == null ? 0 : table.version();
    }

    @Override
    public boolean ready() {
        return table != null;
    }

    @Override
    public Optional<TeamPolicy> team(TeamPath team) {
        return Optional.ofNullable(policies.get(team));
    }

    private TeamPolicy policy(GatewayRoute route) {
        return new TeamPolicy(
                route.team(),
                region,
                route.urgency(),
                route.timeoutMs(),
                services(List.of(route)),
                List.of(),
                EQUAL_SHARE,
                0,
                0,
                0,
                0,
                route.runObjectiveMs(),
                route.itemRetentionMs(),
                route.maxAttempts());
    }

    @Override
    public Collection<TeamPath> teams() {
        return policies.keySet();
    }

    @Override
    public Optional<ServicePolicy> service(ServiceName service) {
        return services.contains(service)
                ? Optional.of(new ServicePolicy(service, ServiceKind.PLAIN, List.of(), 0, "", Set.of(), 0))
                : Optional.empty();
    }

    @Override
    public Collection<ServiceName> services() {
        return services;
    }

    private static Set<ServiceName> services(List<GatewayRoute> routes) {
        Set<ServiceName> services = new LinkedHashSet<>();
        routes.forEach(route -> route.services().forEach(weighted -> services.add(weighted.service())));
        return services;
    }

    @Override
    public TargetPolicy target(TargetId target) {
        return new TargetPolicy(target, slots.getOrDefault(target, 0), false, false, "");
    }

    @Override
    public Optional<ApiKeyEntry> apiKey(String keyId) {
        return Optional.empty();
    }

    @Override
    public void subscribe(SettingsListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener must not be null"));
    }
}
