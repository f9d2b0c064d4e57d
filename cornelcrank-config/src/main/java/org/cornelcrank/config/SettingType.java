package org.cornelcrank.config;

import java.util.Optional;

/**
 * Parses the text of a setting's value.
 *
 * <p>Implementations are stateless and thread-safe.
 */
interface SettingType<T> {

    /** Returns the name of the type as listed in the schema. */
    String name();

    /** Returns the allowed values, worded to follow "must be" in a message. */
    String allowed();

    /** Returns the value of the text, empty if the text is not allowed. */
    Optional<T> parse(String text);
}
