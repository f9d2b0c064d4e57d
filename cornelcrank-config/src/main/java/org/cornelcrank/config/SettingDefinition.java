package org.cornelcrank.config;

import java.util.Optional;
import java.util.function.Function;

/**
 * The definition of one setting key.
 *
 * <p>Invariant: the default is valid for the type; it is absent for a key that has none. Immutable, thus thread-safe.
 */
record SettingDefinition<T>(
        SettingSchema.Scope scope,
        String key,
        SettingType<T> type,
        String unit,
        Optional<String> defaultText,
        String description) {

    /** Returns the value of this key, or its default if the text is absent or no longer valid. */
    Optional<T> resolve(Function<String, Optional<String>> lookup) {
        Optional<T> set = lookup.apply(key).flatMap(type::parse);
        return set.isPresent() ? set : defaultText.flatMap(type::parse);
    }

    /** Returns the value of a key that has a default. */
    T require(Function<String, Optional<String>> lookup) {
        return resolve(lookup)
                .orElseThrow(() -> new IllegalStateException("key must have a default but " + key + " has none"));
    }
}
