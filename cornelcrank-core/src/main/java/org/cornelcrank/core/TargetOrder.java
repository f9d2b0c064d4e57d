package org.cornelcrank.core;

import java.util.Set;

/**
 * Declares the role and the models that a target should have loaded; idempotent.
 *
 * <p>Immutable, thus thread-safe.
 */
public record TargetOrder(String role, Set<String> loaded, long fencingNumber) {

    public TargetOrder {
        loaded = Set.copyOf(loaded);
    }
}
