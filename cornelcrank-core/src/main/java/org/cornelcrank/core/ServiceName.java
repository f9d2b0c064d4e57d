package org.cornelcrank.core;

/**
 * Identifies a service that callers request: a model or a plain service.
 *
 * <p>Invariant: {@code value} consists of 1 to {@link Names#MAX_LENGTH} letters, digits or any of {@code . _ : -}.
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
