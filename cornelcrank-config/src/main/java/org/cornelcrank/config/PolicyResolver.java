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
 * Turns settings into typed policies, once for each change of what they come from.
 *
 * <p>Invariants: a kept policy is dropped when a setting changes that it depends on; policies are kept only for what has
 * settings of its own, so that names from outside cost no memory. Not thread-safe: confined to the
 * daemon's event loop.
 */
final class PolicyResolver {

    private final SettingTable table;
    private final TreeMap<String, Integer> settingsOfTeam = new TreeMap<>();
    private final Map<String, Integer> settingsOfService = new TreeMap<>();
    private final Map<String, TreeSet<String>> pathsOfApiKey = new HashMap<>();
    private final Map<String, Integer> settingsOfTarget = new HashMap<>();
    private final TreeMap<String, TeamPolicy> teams = new TreeMap<>();
    private final Map<String, ServicePolicy> services = new HashMap<>();
    private final Map<String, TargetPolicy> targets = new HashMap<>();

    PolicyResolver(SettingTable table) {
        this.table = table;
    }

    /** Takes note that the newest entry of a path changed. */
    void changed(String path) {
        Optional<SettingPath> parsed = SettingPath.parse(path);
        if (parsed.isEmpty()) {
            return;
        }
        SettingPath setting = parsed.get();
        int difference = table.settleDifference(path);
        switch (setting.scope()) {
            case TEAM -> teamChanged(setting, difference);
            case API_KEY -> apiKeyChanged(setting, path, difference);
            case SERVICE -> {
                count(settingsOfService, setting.owner(), difference);
                services.remove(setting.owner());
            }
            default -> {
                count(settingsOfTarget, setting.owner(), difference);
                targets.remove(setting.owner());
            }
        }
    }

    Optional<TeamPolicy> team(TeamPath team) {
        if (!isKnownTeam(team.team())) {
            return Optional.empty();
        }
        String owner = nearestOwner(team);
        TeamPolicy kept = teams.get(owner);
        if (kept == null) {
            Optional<TeamPolicy> resolved = resolveTeam(new TeamPath(owner));
            resolved.ifPresent(policy -> teams.put(owner, policy));
            kept = resolved.orElse(null);
        }
        return Optional.ofNullable(kept).map(policy -> policy.team().equals(team) ? policy : policy.forTeam(team));
    }

    Collection<TeamPath> teams() {
        return settingsOfTeam.keySet().stream().map(TeamPath::new).toList();
    }

    Optional<ServicePolicy> service(ServiceName service) {
        if (!settingsOfService.containsKey(service.value())) {
            return Optional.empty();
        }
        return Optional.of(services.computeIfAbsent(service.value(), ignored -> resolveService(service)));
    }

    Collection<ServiceName> services() {
        return settingsOfService.keySet().stream().map(ServiceName::new).toList();
    }

    TargetPolicy target(TargetId target) {
        if (!settingsOfTarget.containsKey(target.value())) {
            return resolveTarget(target);
        }
        return targets.computeIfAbsent(target.value(), ignored -> resolveTarget(target));
    }

    /** Returns the key of an id; of several in different places, the one that was there first. */
    Optional<ApiKeyEntry> apiKey(String keyId) {
        return pathsOfApiKey.getOrDefault(keyId, new TreeSet<>()).stream()
                .min((left, right) -> Long.compare(table.version(left), table.version(right)))
                .flatMap(this::resolveApiKey);
    }

    /** Returns the path of a key of that id elsewhere, empty if there is none. */
    Optional<String> otherPathOfApiKey(String path) {
        return SettingPath.parse(path)
                .filter(setting -> setting.scope() == SettingSchema.Scope.API_KEY)
                .flatMap(setting -> pathsOfApiKey.getOrDefault(setting.key(), new TreeSet<>()).stream()
                        .filter(other -> !other.equals(path))
                        .findFirst());
    }

    private void teamChanged(SettingPath setting, int difference) {
        if (setting.isDefault()) {
            teams.clear();
            return;
        }
        count(settingsOfTeam, setting.owner(), difference);
        dropTeam(setting.owner());
    }

    private void dropTeam(String owner) {
        teams.remove(owner);
        // The character after the slash ends the range of paths that start with the owner and a slash.
        teams.subMap(owner + "/", owner + (char) ('/' + 1)).clear();
    }

    private void apiKeyChanged(SettingPath setting, String path, int difference) {
        count(settingsOfTeam, setting.owner(), difference);
        TreeSet<String> paths = pathsOfApiKey.computeIfAbsent(setting.key(), ignored -> new TreeSet<>());
        if (table.value(path).isPresent()) {
            paths.add(path);
        } else {
            paths.remove(path);
        }
        if (paths.isEmpty()) {
            pathsOfApiKey.remove(setting.key());
        }
    }

    /** Returns the nearest path upwards that has settings of its own, at the highest the team itself. */
    private String nearestOwner(TeamPath team) {
        TeamPath level = team;
        while (!settingsOfTeam.containsKey(level.value()) && level.parent().isPresent()) {
            level = level.parent().get();
        }
        return level.value();
    }

    private Optional<TeamPolicy> resolveTeam(TeamPath team) {
        Function<String, Optional<String>> text = key -> inherited(team, key);
        return SettingKeys.HOME_REGION.resolve(text).map(region -> resolveTeam(team, region, text));
    }

    private static TeamPolicy resolveTeam(TeamPath team, String homeRegion, Function<String, Optional<String>> text) {
        Set<ServiceName> allowed = SettingKeys.SERVICES.require(text).stream()
                .map(ServiceName::new)
                .collect(Collectors.toSet());
        return new TeamPolicy(
                team,
                new RegionId(homeRegion),
                SettingKeys.URGENCY.require(text),
                SettingKeys.DEADLINE_MS.require(text),
                allowed,
                SettingKeys.TARGETS.require(text),
                SettingKeys.SHARE.require(text).intValue(),
                SettingKeys.MAX_REQUESTS_PER_SECOND.require(text),
                SettingKeys.MAX_TOKENS_PER_SECOND.require(text),
                SettingKeys.MAX_OPEN_JOBS.require(text).intValue(),
                SettingKeys.MAX_STORED_BYTES.require(text),
                SettingKeys.BATCH_DEADLINE_MS.require(text),
                SettingKeys.RESULT_RETENTION_MS.require(text),
                SettingKeys.MAX_ITEM_ATTEMPTS.require(text).intValue());
    }

    private boolean isKnownTeam(String team) {
        String root = "/" + team;
        if (settingsOfTeam.containsKey(root)) {
            return true;
        }
        String below = settingsOfTeam.ceilingKey(root + "/");
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
        Function<String, Optional<String>> text = key -> table.value(SettingPath.SERVICES + service + "/" + key);
        return new ServicePolicy(
                service,
                SettingKeys.KIND.require(text),
                SettingKeys.REPEATABLE.require(text),
                SettingKeys.ATTEMPT_TIMEOUT_MS.require(text),
                SettingKeys.VERSION.require(text),
                SettingKeys.ADAPTERS.require(text),
                SettingKeys.REPLICAS.require(text).intValue());
    }

    private TargetPolicy resolveTarget(TargetId target) {
        Function<String, Optional<String>> text = key -> table.value(SettingPath.TARGETS + target + "/" + key);
        return new TargetPolicy(
                target,
                SettingKeys.SLOTS.require(text).intValue(),
                SettingKeys.CHECKS_FENCING.require(text),
                SettingKeys.DRAINING.require(text),
                SettingKeys.ROLE.require(text));
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

    private static void count(Map<String, Integer> counts, String owner, int difference) {
        counts.merge(owner, difference, (left, right) -> left + right == 0 ? null : left + right);
        counts.remove(owner, 0);
    }
}
