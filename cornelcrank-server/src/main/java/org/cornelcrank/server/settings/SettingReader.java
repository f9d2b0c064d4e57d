package org.cornelcrank.server.settings;

import java.net.URI;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Reads the values of settings and collects all errors in them.
 *
 * <p>Invariant: a placeholder is returned for an invalid value, so that all errors can be reported together. Not
 * thread-safe.
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
        String value = flags.apply(flag);
        if (value == null) {
            value = environment.get(setting.environmentVariable());
        }
        if (value == null || value.isBlank()) {
            if (setting.required()) {
                error(flag, "is missing");
            }
            return setting.defaultValue();
        }
        return value.strip();
    }

    <T> T parsed(String flag, String placeholder, Function<String, T> parser) {
        String text = text(flag);
        if (text.isEmpty()) {
            return parser.apply(placeholder);
        }
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            error(flag, e.getMessage());
            return parser.apply(placeholder);
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

    long number(String flag, long min, long max) {
        String text = text(flag);
        try {
            long value = Long.parseLong(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Falls through to the error below, as for a number out of range.
        }
        error(flag, "must be a whole number from " + min + " to " + max + " but was '" + text + "'");
        return min;
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
