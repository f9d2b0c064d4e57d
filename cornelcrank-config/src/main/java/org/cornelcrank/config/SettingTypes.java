package org.cornelcrank.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.Names;

/**
 * The types of setting values.
 *
 * <p>Stateless, thus thread-safe.
 */
final class SettingTypes {

    private static final Pattern TARGET_PATTERN = Pattern.compile("[A-Za-z0-9._:*-]{1,200}");
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}|\\*");
    private static final Pattern PATH_PATTERN = Pattern.compile("/[^\\s*,]*\\*?");
    private static final Pattern HEX = Pattern.compile("(?:[0-9a-f]{2}){8,64}");

    private SettingTypes() {}

    static SettingType<Long> wholeNumber(long min, long max) {
        String allowed = "a whole number from " + min + " to " + max;
        return type("whole number", allowed, text -> parseLong(text).filter(number -> number >= min && number <= max));
    }

    static SettingType<Double> number(double min, double max) {
        String allowed = "a number from " + format(min) + " to " + format(max);
        return type("number", allowed, text -> parseDouble(text).filter(number -> number >= min && number <= max));
    }

    static SettingType<Boolean> bool() {
        return type("boolean", "true or false", text -> switch (text) {
            case "true" -> Optional.of(true);
            case "false" -> Optional.of(false);
            default -> Optional.empty();
        });
    }

    static <T> SettingType<T> choice(List<String> names, Function<String, Optional<T>> parser) {
        return type("choice", "one of " + String.join(", ", names), parser);
    }

    static SettingType<String> name() {
        return type("name", "a name of letters, digits or any of . _ : -", SettingTypes::parseName);
    }

    static SettingType<String> optionalName() {
        return type(
                "name",
                "empty or a name of letters, digits or any of . _ : -",
                text -> text.isEmpty() ? Optional.of("") : parseName(text));
    }

    static SettingType<Set<String>> nameList() {
        return type(
                "list of names", "names separated by commas, or empty", text -> parseList(text, SettingTypes::parseName)
                        .map(LinkedHashSet::new));
    }

    static SettingType<List<String>> targetPatterns() {
        return type(
                "list of patterns",
                "target names separated by commas, in which * stands for any characters, or empty",
                text -> parseList(text, part -> Optional.of(part)
                        .filter(pattern -> TARGET_PATTERN.matcher(pattern).matches())));
    }

    static SettingType<List<RepeatableRoute>> routes() {
        return type(
                "list of routes",
                "a list like 'GET /tokens/*, * /status' separated by commas, or empty",
                text -> parseList(text, SettingTypes::parseRoute));
    }

    /** Returns the type of an API key's value; the key's team and id are in its path. */
    static SettingType<ApiKeyFields> apiKey() {
        return type(
                "API key",
                "salt:hash:scope or salt:hash:scope:expiresAtMs, with salt and hash in lower-case hexadecimal of 8 to 64"
                        + " bytes and the scope caller or operator",
                SettingTypes::parseApiKey);
    }

    private static <T> SettingType<T> type(String name, String allowed, Function<String, Optional<T>> parser) {
        return new SettingType<>() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public String allowed() {
                return allowed;
            }

            @Override
            public Optional<T> parse(String text) {
                return parser.apply(text);
            }
        };
    }

    private static Optional<Long> parseLong(String text) {
        try {
            return Optional.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<Double> parseDouble(String text) {
        try {
            return Optional.of(Double.parseDouble(text)).filter(Double::isFinite);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<String> parseName(String text) {
        return Optional.of(text).filter(Names::isName);
    }

    private static Optional<RepeatableRoute> parseRoute(String text) {
        String[] parts = text.split(" +", 2);
        boolean valid = parts.length == 2
                && METHOD.matcher(parts[0]).matches()
                && PATH_PATTERN.matcher(parts[1]).matches();
        return valid ? Optional.of(new RepeatableRoute(parts[0], parts[1])) : Optional.empty();
    }

    private static Optional<ApiKeyFields> parseApiKey(String text) {
        String[] parts = text.split(":", -1);
        boolean hashed = parts.length >= 3
                && HEX.matcher(parts[0]).matches()
                && HEX.matcher(parts[1]).matches();
        if (!hashed || parts.length > 4) {
            return Optional.empty();
        }
        Optional<Caller.Scope> scope = parseScope(parts[2]);
        Optional<Long> expiresAtMs = parts.length == 4 ? parseLong(parts[3]).filter(ms -> ms > 0) : Optional.of(0L);
        if (scope.isEmpty() || expiresAtMs.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ApiKeyFields(parts[0], parts[1], scope.get(), expiresAtMs.get()));
    }

    private static Optional<Caller.Scope> parseScope(String text) {
        for (Caller.Scope scope : Caller.Scope.values()) {
            if (scope.name().toLowerCase(Locale.ROOT).equals(text)) {
                return Optional.of(scope);
            }
        }
        return Optional.empty();
    }

    private static <T> Optional<List<T>> parseList(String text, Function<String, Optional<T>> parser) {
        List<T> parsed = new ArrayList<>();
        if (text.isBlank()) {
            return Optional.of(parsed);
        }
        for (String part : text.split(",", -1)) {
            Optional<T> value = parser.apply(part.strip());
            if (value.isEmpty()) {
                return Optional.empty();
            }
            parsed.add(value.get());
        }
        return Optional.of(parsed);
    }

    private static String format(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** The parsed value of an API key; {@code expiresAtMs} is zero if the key does not expire. */
    record ApiKeyFields(String saltHex, String hashHex, Caller.Scope scope, long expiresAtMs) {}
}
