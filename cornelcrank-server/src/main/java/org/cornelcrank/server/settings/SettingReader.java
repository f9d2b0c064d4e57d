package org.cornelcrank.server.settings;

import java.net.URI;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Reads setting values and gathers what is wrong with them.
 *
 * <p>Invariant: after a bad value a harmless one is returned, so that all errors can be told at once. Not thread-safe.
 */
final class SettingReader {

    private final Map<String, ProcessSetting> declared;
    private final Function<String, String> flags;
    private final Map<String, String> environment;
    private final List<String> errors;

    SettingReader(
            List<ProcessSetting> declared,
            Function<String, String> flags,
            Map<String, String> environment,
            List<String> errors) {
        this.declared = new LinkedHashMap<>();
        declared.forEach(setting -> this.declared.put(setting.flag(), setting));
        this.flags = flags;
        this.environment = environment;
        this.errors = errors;
    }

    String text(String flag) {
        ProcessSetting setting = declared.get(flag);
        String given = flags.apply(flag);
        if (given == null) {
            given = environment.get(setting.environmentVariable());
        }
        if (given == null || given.isBlank()) {
            if (setting.required()) {
                error(flag, "is missing");
            }
            return setting.defaultValue();
        }
        return given.strip();
    }

    <T> T parsed(String flag, String fallback, Function<String, T> parser) {
        String text = text(flag);
        if (text.isEmpty()) {
            return parser.apply(fallback);
        }
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            error(flag, e.getMessage());
            return parser.apply(fallback);
        }
    }

    <T> Optional<T> optional(String flag, Function<String, T> parser) {
        String text = text(flag);
        try {
            return text.isEmpty() ? Optional.empty() : Optional.of(parser.apply(text));
        } catch (IllegalArgumentException e) {
            error(flag, e.getMessage());
            return Optional.empty();
        }
    }

    long number(String flag, long least, long most) {
        String text = text(flag);
        try {
            long value = Long.parseLong(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, as a number out of range is.
        }
        error(flag, "must be a whole number from " + least + " to " + most + " but was '" + text + "'");
        return least;
    }

    String oneOf(String flag, List<String> allowed) {
        String text = text(flag);
        if (!allowed.contains(text)) {
            error(flag, "must be one of " + String.join(", ", allowed) + " but was '" + text + "'");
            return allowed.get(0);
        }
        return text;
    }

    URI url(String flag) {
        return parsed(flag, "http://127.0.0.1:1", SettingReader::parseUrl);
    }

    void error(String flag, String problem) {
        errors.add("--" + flag + " (" + declared.get(flag).environmentVariable() + ") " + problem);
    }

    private static URI parseUrl(String text) {
        URI url = URI.create(text);
        if (url.getHost() == null || !List.of("http", "https").contains(String.valueOf(url.getScheme()))) {
            throw new IllegalArgumentException("must look like http://127.0.0.1:9000 but was '" + text + "'");
        }
        return url;
    }
}
