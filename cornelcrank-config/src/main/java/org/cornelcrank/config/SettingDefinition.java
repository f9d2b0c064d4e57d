package org.cornelcrank.config;

import java.util.Optional;
import java.util.function.Function;

/**
 * Defines one key of the settings.
 *
 * <p>Invariant: the default is allowed by the type; it is empty for a key that has none. Immutable, thus thread-safe.
 */
record SettingDefinition<T>(
        SettingSchema.Scope scope,
        String key,
        SettingType<T> type,
        String unit,
        Optional<String> defaultText,
        String description) {

    /** Returns the value of this key, or of its default where the text is absent or not allowed any more. */
    Optional<T> resolve(Function<String, Optional<String>> textOfKey) {
        Optional<T> set = textOfKey.apply(key).flatMap(type::parse);
        return set.isPresent() ? set : defaultText.flatMap(type::parse);
    }

    /** Returns the value of a key that has a default. */
    T require(Function<String, Optional<String>> textOfKey) {
        return resolve(textOfKey)
                .orElseThrow(() -> new IllegalStateException("key must have a default but " + key + " has none"));
    }
}
