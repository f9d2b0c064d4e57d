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
 * Exposes the active routes as settings, with each route as a separate team.
 *
 * <p>Invariant: the version never decreases. {@link #table()} and {@link #mayLackRoutes} may be called from any thread;
 * all other methods are confined to the daemon's event loop.
 */
public final class RouteTableSettings implements Settings {

    /** The weight of a route's jobs relative to those of other routes. */
    private static final int EQUAL_SHARE = 1;

    /**
     * How long a table counts as the newest without a confirmation, in ms: longer than two reads that the store holds
     * open, as one that has been sent confirms only what was appended before.
     */
    private static final long CONFIRMATION_TIMEOUT_MS = 6_500;

    private final RegionId region;
    private final List<SettingsListener> listeners = new ArrayList<>();
    private final Map<TargetId, Integer> slots = new HashMap<>();
    private Map<TeamPath, TeamPolicy> policies = Map.of();
    private Set<ServiceName> services = Set.of();
    private volatile long confirmedAsOfMs = Long.MIN_VALUE / 2;
    private volatile RouteTable table;

    /** Creates settings without routes. */
    public RouteTableSettings(RegionId region) {
        this.region = Objects.requireNonNull(region, "region must not be null");
    }

    /** Returns the active route table, empty before the first is installed. */
    public Optional<RouteTable> table() {
        return Optional.ofNullable(table);
    }

    /** Activates a route table unless the active one has the same or a newer version; returns whether it did. */
    public boolean install(RouteTable newer, long nowMs, Effects out) {
        RouteTable current = table;
        if (current != null && newer.version() <= current.version()) {
            return false;
        }
        policies = new LinkedHashMap<>();
        newer.routes().forEach(route -> policies.put(route.team(), policy(route)));
        services = services(newer.routes());
        table = newer;
        listeners.forEach(listener -> listener.settingsChanged(nowMs, out));
        return true;
    }

    /** Records that no newer table existed at a time in ms. */
    public void confirm(long asOfMs) {
        confirmedAsOfMs = Math.max(confirmedAsOfMs, asOfMs);
    }

    /**
     * Returns the time in ms as of which the active table is known to be the newest: it lacks no route that was in effect
     * at any daemon before then, unless the route has been removed.
     */
    public long confirmedAsOfMs() {
        return confirmedAsOfMs;
    }

    /** Returns whether a route may have been added that this daemon has not been able to read. */
    public boolean mayLackRoutes(long nowMs) {
        return nowMs - confirmedAsOfMs > CONFIRMATION_TIMEOUT_MS;
    }

    /** Replaces the number of slots of all targets. */
    void updateSlots(Collection<TargetEntry> targets) {
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

    /** Returns the policy of a route's team, also of a route that is not active any more. */
    public TeamPolicy policy(GatewayRoute route) {
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
