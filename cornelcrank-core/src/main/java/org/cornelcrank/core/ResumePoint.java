package org.cornelcrank.core;

/**
 * Names a generation that a target keeps, and the token to go on from.
 *
 * <p>Invariant: {@code fromToken} is not negative; zero asks for a new generation kept under the key. Immutable, thus
 * thread-safe.
 */
public record ResumePoint(String key, int fromToken) {

    public ResumePoint {
        Names.requireName(key, "resume key");
        if (fromToken < 0) {
            throw new IllegalArgumentException("fromToken must not be negative but was " + fromToken);
        }
    }
}
