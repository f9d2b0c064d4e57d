package org.cornelcrank.partition;

/**
 * Validates the values of this slice's settings.
 *
 * <p>Stateless, thus thread-safe.
 */
final class Settings {

    private Settings() {}

    static void requireWithin(String name, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + " must be from " + min + " to " + max + " but was " + value);
        }
    }
}
