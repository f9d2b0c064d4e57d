package org.cornelcrank.partition;

/**
 * Checks the values of this slice's settings.
 *
 * <p>Stateless, thus thread-safe.
 */
final class Settings {

    private Settings() {}

    static void requireWithin(String name, long value, long least, long most) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(name + " must be from " + least + " to " + most + " but was " + value);
        }
    }
}
