package org.cornelcrank.config;

import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.Names;

/**
 * A parsed path of a setting.
 *
 * <p>{@code owner} is the path of a team or workload, the name of a service or target, or empty for the defaults;
 * {@code key} is the key, or the id of an API key. Immutable, thus thread-safe.
 */
record SettingPath(SettingSchema.Scope scope, boolean isDefault, String owner, String key) {

    static final String FLEET = "fleet";
    static final String SERVICES = "/fleet/services/";
    static final String TARGETS = "/fleet/targets/";
    static final String DEFAULTS = "/fleet/defaults/";

    /** Parses a path, empty if it has none of the valid forms. */
    static Optional<SettingPath> parse(String path) {
        if (!path.startsWith("/") || path.length() > SettingSchema.MAX_PATH_LENGTH) {
            return Optional.empty();
        }
        List<String> segments = List.of(path.substring(1).split("/", -1));
        if (segments.size() < 2 || !segments.stream().allMatch(Names::isName)) {
            return Optional.empty();
        }
        return segments.get(0).equals(FLEET) ? parseFleet(segments) : parseTeam(segments);
    }

    private static Optional<SettingPath> parseFleet(List<String> segments) {
        if (segments.size() == 3 && segments.get(1).equals("defaults")) {
            return Optional.of(new SettingPath(SettingSchema.Scope.TEAM, true, "", segments.get(2)));
        }
        if (segments.size() != 4) {
            return Optional.empty();
        }
        String name = segments.get(2);
        return switch (segments.get(1)) {
            case "services" -> Optional.of(new SettingPath(SettingSchema.Scope.SERVICE, false, name, segments.get(3)));
            case "targets" -> Optional.of(new SettingPath(SettingSchema.Scope.TARGET, false, name, segments.get(3)));
            default -> Optional.empty();
        };
    }

    private static Optional<SettingPath> parseTeam(List<String> segments) {
        int apiKeys = segments.indexOf(SettingKeys.API_KEYS);
        if (apiKeys < 0) {
            String owner = teamOf(segments.subList(0, segments.size() - 1));
            return Optional.of(
                    new SettingPath(SettingSchema.Scope.TEAM, false, owner, segments.get(segments.size() - 1)));
        }
        if (apiKeys == 0 || apiKeys != segments.size() - 2) {
            return Optional.empty();
        }
        String owner = teamOf(segments.subList(0, apiKeys));
        return Optional.of(new SettingPath(SettingSchema.Scope.API_KEY, false, owner, segments.get(apiKeys + 1)));
    }

    private static String teamOf(List<String> segments) {
        return "/" + String.join("/", segments);
    }
}
