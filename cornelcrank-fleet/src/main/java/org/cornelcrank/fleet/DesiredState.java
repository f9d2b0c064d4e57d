package org.cornelcrank.fleet;

import java.util.Objects;
import java.util.Set;

/**
 * The desired state of a target: its role, and the models and adapters that it should have loaded.
 *
 * <p>Immutable, thus thread-safe.
 */
record DesiredState(String role, Set<String> loaded) {

    DesiredState {
        Objects.requireNonNull(role, "role must not be null");
        loaded = Set.copyOf(loaded);
    }
}
