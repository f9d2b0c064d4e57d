package org.cornelcrank.core;

import java.util.Set;

/**
 * Tells a target what it is to have loaded; declarative, so that repeating it changes nothing.
 *
 * <p>Immutable, thus thread-safe.
 */
public record TargetOrder(String role, Set<String> loaded, long fencingNumber) {

    public TargetOrder {
        loaded = Set.copyOf(loaded);
    }
}
