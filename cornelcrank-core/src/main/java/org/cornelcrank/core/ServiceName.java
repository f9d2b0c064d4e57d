package org.cornelcrank.core;

/**
 * Identifies what callers ask for: a model or a plain service.
 *
 * <p>Invariant: {@code value} is made of letters, digits and {@code . _ : -}, at most {@link Names#MAX_LENGTH} characters.
 * Immutable, thus thread-safe.
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    public ServiceName {
        Names.requireName(value, "service name");
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
