package org.cornelcrank.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;

/**
 * Resolves settings into typed policies, and caches them until a setting changes.
 *
 * <p>Invariants: a cached policy is evicted when a setting changes that it depends on; policies are cached only for
 * names that have settings, so that unknown names in requests use no memory. Not thread-safe: confined to the daemon's
 * event loop.
 */
final class PolicyResolver {

    private final SettingTable table;
    private final TreeMap<String, Integer> settingCountByTeam = new TreeMap<>();
    private final Map<String, Integer> settingCountByService = new TreeMap<>();
    private final Map<String, TreeSet<String>> pathsByKeyId = new HashMap<>();
    private final Map<String, Integer> settingCountByTarget = new HashMap<>();
    private final TreeMap<String, TeamPolicy> teams = new TreeMap<>();
    private final Map<String, ServicePolicy> services = new HashMap<>();
    private final Map<String, TargetPolicy> targets = new HashMap<>();

    PolicyResolver(SettingTable table) {
        this.table = table;
    }

    /** Called when the newest entry of a path has changed. */
    void settingChanged(String path) {
        Optional<SettingPath> parsed = SettingPath.parse(path);
        if (parsed.isEmpty()) {
            return;
        }
        SettingPath setting = parsed.get();
        int delta = table.countDelta(path);
        switch (setting.scope()) {
            case TEAM -> teamChanged(setting, delta);
            case API_KEY -> apiKeyChanged(setting, path, delta);
            case SERVICE -> {
                addToCount(settingCountByService, setting.owner(), delta);
                services.remove(setting.owner());
            }
            default -> {
                addToCount(settingCountByTarget, setting.owner(), delta);
                targets.remove(setting.owner());
            }
        }
    }

    Optional<TeamPolicy> team(TeamPath team) {
        if (!hasSettings(team.team())) {
            return Optional.empty();
        }
        String owner = nearestOwner(team);
        TeamPolicy cached = teams.get(owner);
        if (cached == null) {
            Optional<TeamPolicy> resolved = resolveTeam(new TeamPath(owner));
            resolved.ifPresent(policy -> teams.put(owner, policy));
            cached = resolved.orElse(null);
        }
        return Optional.ofNullable(cached).map(policy -> policy.team().equals(team) ? policy : policy.forTeam(team));
    }

    Collection<TeamPath> teams() {
        return settingCountByTeam.keySet().stream().map(TeamPath::new).toList();
    }

    Optional<ServicePolicy> service(ServiceName service) {
        if (!settingCountByService.containsKey(service.value())) {
            return Optional.empty();
        }
        return Optional.of(services.computeIfAbsent(service.value(), ignored -> resolveService(service)));
    }

    Collection<ServiceName> services() {
        return settingCountByService.keySet().stream().map(ServiceName::new).toList();
    }

    TargetPolicy target(TargetId target) {
        if (!settingCountByTarget.containsKey(target.value())) {
            return resolveTarget(target);
        }
        return targets.computeIfAbsent(target.value(), ignored -> resolveTarget(target));
    }

    /** Returns the API key with the id; if several paths have the id, the key with the oldest version. */
    Optional<ApiKeyEntry> apiKey(String keyId) {
        return pathsByKeyId.getOrDefault(keyId, new TreeSet<>()).stream()
                .min((left, right) -> Long.compare(table.version(left), table.version(right)))
                .flatMap(this::resolveApiKey);
    }

    /** Returns another path that has an API key with the same id, empty if there is none. */
    Optional<String> conflictingApiKeyPath(String path) {
        return SettingPath.parse(path)
                .filter(setting -> setting.scope() == SettingSchema.Scope.API_KEY)
                .flatMap(setting -> pathsByKeyId.getOrDefault(setting.key(), new TreeSet<>()).stream()
                        .filter(other -> !other.equals(path))
                        .findFirst());
    }

    private void teamChanged(SettingPath setting, int delta) {
        if (setting.isDefault()) {
            teams.clear();
            return;
        }
        addToCount(settingCountByTeam, setting.owner(), delta);
        evictTeam(setting.owner());
    }

    private void evictTeam(String owner) {
        teams.remove(owner);
        // The character after '/' is the upper bound of the paths that start with the owner and a slash.
        teams.subMap(owner + "/", owner + (char) ('/' + 1)).clear();
    }

    private void apiKeyChanged(SettingPath setting, String path, int delta) {
        addToCount(settingCountByTeam, setting.owner(), delta);
        TreeSet<String> paths = pathsByKeyId.computeIfAbsent(setting.key(), ignored -> new TreeSet<>());
        if (table.value(path).isPresent()) {
            paths.add(path);
        } else {
            paths.remove(path);
        }
        if (paths.isEmpty()) {
            pathsByKeyId.remove(setting.key());
        }
    }

    /** Returns the path or its nearest ancestor that has its own settings; the team if there is none. */
    private String nearestOwner(TeamPath team) {
        TeamPath level = team;
        while (!settingCountByTeam.containsKey(level.value()) && level.parent().isPresent()) {
            level = level.parent().get();
        }
        return level.value();
    }

    private Optional<TeamPolicy> resolveTeam(TeamPath team) {
        Function<String, Optional<String>> lookup = key -> inherited(team, key);
        return SettingKeys.HOME_REGION.resolve(lookup).map(region -> resolveTeam(team, region, lookup));
    }

    private static TeamPolicy resolveTeam(TeamPath team, String homeRegion, Function<String, Optional<String>> lookup) {
        Set<ServiceName> allowed = SettingKeys.SERVICES.require(lookup).stream()
                .map(ServiceName::new)
                .collect(Collectors.toSet());
        return new TeamPolicy(
                team,
                new RegionId(homeRegion),
                SettingKeys.URGENCY.require(lookup),
                SettingKeys.DEADLINE_MS.require(lookup),
                allowed,
                SettingKeys.TARGETS.require(lookup),
                SettingKeys.SHARE.require(lookup).intValue(),
                SettingKeys.MAX_REQUESTS_PER_SECOND.require(lookup),
                SettingKeys.MAX_TOKENS_PER_SECOND.require(lookup),
                SettingKeys.MAX_OPEN_JOBS.require(lookup).intValue(),
                SettingKeys.MAX_STORED_BYTES.require(lookup),
                SettingKeys.BATCH_DEADLINE_MS.require(lookup),
                SettingKeys.RESULT_RETENTION_MS.require(lookup),
                SettingKeys.MAX_ITEM_ATTEMPTS.require(lookup).intValue());
    }

    private boolean hasSettings(String team) {
        String root = "/" + team;
        if (settingCountByTeam.containsKey(root)) {
            return true;
        }
        String below = settingCountByTeam.ceilingKey(root + "/");
        return below != null && below.startsWith(root + "/");
    }

    private Optional<String> inherited(TeamPath team, String key) {
        Optional<TeamPath> level = Optional.of(team);
        while (level.isPresent()) {
            Optional<String> value = table.value(level.get() + "/" + key);
            if (value.isPresent()) {
                return value;
            }
            level = level.get().parent();
        }
        return table.value(SettingPath.DEFAULTS + key);
    }

    private ServicePolicy resolveService(ServiceName service) {
        Function<String, Optional<String>> lookup = key -> table.value(SettingPath.SERVICES + service + "/" + key);
        return new ServicePolicy(
                service,
                SettingKeys.KIND.require(lookup),
                SettingKeys.REPEATABLE.require(lookup),
                SettingKeys.ATTEMPT_TIMEOUT_MS.require(lookup),
                SettingKeys.VERSION.require(lookup),
                SettingKeys.ADAPTERS.require(lookup),
                SettingKeys.REPLICAS.require(lookup).intValue());
    }

    private TargetPolicy resolveTarget(TargetId target) {
        Function<String, Optional<String>> lookup = key -> table.value(SettingPath.TARGETS + target + "/" + key);
        return new TargetPolicy(
                target,
                SettingKeys.SLOTS.require(lookup).intValue(),
                SettingKeys.CHECKS_FENCING.require(lookup),
                SettingKeys.DRAINING.require(lookup),
                SettingKeys.ROLE.require(lookup));
    }

    private Optional<ApiKeyEntry> resolveApiKey(String path) {
        SettingPath setting = SettingPath.parse(path).orElseThrow();
        return table.value(path)
                .flatMap(SettingKeys.API_KEY.type()::parse)
                .map(fields -> new ApiKeyEntry(
                        new TeamPath(setting.owner()),
                        setting.key(),
                        fields.saltHex(),
                        fields.hashHex(),
                        fields.scope(),
                        fields.expiresAtMs()));
    }

    private static void addToCount(Map<String, Integer> counts, String owner, int delta) {
        counts.merge(owner, delta, (left, right) -> left + right == 0 ? null : left + right);
        counts.remove(owner, 0);
    }
}
