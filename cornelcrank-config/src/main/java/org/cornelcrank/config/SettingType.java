package org.cornelcrank.config;

import java.util.Optional;

/**
 * Reads the text of a setting's value.
 *
 * <p>Implementations are stateless and thread-safe.
 */
interface SettingType<T> {

    /** Returns the name of the type for lists of the schema. */
    String name();

    /** Returns what is allowed, as the end of a sentence that begins with the value must be. */
    String allowed();

    /** Returns the value that the text stands for, empty if it is not allowed. */
    Optional<T> parse(String text);
}
