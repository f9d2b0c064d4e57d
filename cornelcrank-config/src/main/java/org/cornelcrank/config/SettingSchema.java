package org.cornelcrank.config;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Describes all settings, and validates paths and values against the description.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class SettingSchema {

    static final int MAX_PATH_LENGTH = 512;
    static final int MAX_VALUE_LENGTH = 4_096;

    private static final List<Entry> ENTRIES =
            SettingKeys.ALL.stream().map(SettingSchema::entry).toList();

    private SettingSchema() {}

    /** The kind of path under which a key is set. */
    public enum Scope {
        /** {@code /team/workload.../key}, and {@code /fleet/defaults/key} for all teams. */
        TEAM,
        /** {@code /team/.../api-keys/keyId}. */
        API_KEY,
        /** {@code /fleet/services/service/key}. */
        SERVICE,
        /** {@code /fleet/targets/target/key}. */
        TARGET
    }

    /**
     * Describes one key; without a default, {@code defaultValue} is absent; without a unit, {@code unit} is empty.
     *
     * <p>Immutable, thus thread-safe.
     */
    public record Entry(
            Scope scope,
            String key,
            String type,
            String unit,
            String allowed,
            Optional<String> defaultValue,
            String description) {}

    /** Returns all keys, those of teams first. */
    public static List<Entry> entries() {
        return ENTRIES;
    }

    /** Returns why a setting is invalid, with its path, its value and the allowed values; empty if it is valid. */
    public static Optional<String> problem(String path, String value) {
        Optional<String> pathProblem = pathProblem(path);
        if (pathProblem.isPresent()) {
            return pathProblem;
        }
        SettingDefinition<?> definition = definition(path).orElseThrow();
        if (value.length() > MAX_VALUE_LENGTH) {
            return Optional.of("setting '" + path + "' must have at most " + MAX_VALUE_LENGTH + " characters but had "
                    + value.length());
        }
        if (definition.type().parse(value).isPresent()) {
            return Optional.empty();
        }
        String unit = definition.unit().isEmpty() ? "" : " " + definition.unit();
        return Optional.of("setting '" + path + "' must be " + definition.type().allowed() + unit + " but was '"
                + displayValue(definition, value) + "'");
    }

    /** Returns why the path of a setting is invalid, empty if it is valid. */
    public static Optional<String> pathProblem(String path) {
        Optional<SettingPath> parsed = SettingPath.parse(path);
        if (parsed.isEmpty()) {
            return Optional.of("path '" + path + "' must look like /team/workload/key, /team/api-keys/<keyId>,"
                    + " /fleet/services/<service>/<key>, /fleet/targets/<target>/<key> or /fleet/defaults/<key>");
        }
        if (definition(parsed.get()).isPresent()) {
            return Optional.empty();
        }
        String validKeys = SettingKeys.ALL.stream()
                .filter(definition -> definition.scope() == parsed.get().scope())
                .map(SettingDefinition::key)
                .collect(Collectors.joining(", "));
        return Optional.of("path '" + path + "' has the unknown key '"
                + parsed.get().key() + "'; valid keys here are " + validKeys);
    }

    static Optional<SettingDefinition<?>> definition(String path) {
        return SettingPath.parse(path).flatMap(SettingSchema::definition);
    }

    private static Optional<SettingDefinition<?>> definition(SettingPath path) {
        for (SettingDefinition<?> definition : SettingKeys.ALL) {
            boolean keyMatches =
                    path.scope() == Scope.API_KEY || definition.key().equals(path.key());
            if (definition.scope() == path.scope() && keyMatches) {
                return Optional.of(definition);
            }
        }
        return Optional.empty();
    }

    /** Hides the value of an API key, which may be the key itself given by mistake in place of its hash. */
    private static String displayValue(SettingDefinition<?> definition, String value) {
        return definition.scope() == Scope.API_KEY ? "(hidden)" : value;
    }

    private static Entry entry(SettingDefinition<?> definition) {
        return new Entry(
                definition.scope(),
                definition.key(),
                definition.type().name(),
                definition.unit(),
                definition.type().allowed(),
                definition.defaultText(),
                definition.description());
    }
}
