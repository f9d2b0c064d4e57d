package org.cornelcrank.core;

/**
 * Identifies a generation that a target retains, and the token from which to resume it.
 *
 * <p>Invariant: {@code fromToken} is not negative; zero starts a new generation, which the target retains under the
 * key. Immutable, thus thread-safe.
 */
public record ResumePoint(String key, int fromToken) {

    public ResumePoint {
        Names.requireName(key, "resume key");
        if (fromToken < 0) {
            throw new IllegalArgumentException("fromToken must not be negative but was " + fromToken);
        }
    }
}
