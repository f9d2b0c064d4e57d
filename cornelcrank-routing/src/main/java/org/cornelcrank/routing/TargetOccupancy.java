package org.cornelcrank.routing;

import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The occupancy of a target as its controller publishes it.
 *
 * <p>{@code expectedWaitMs} is how long an urgent request would wait for a permit. {@code loaded} names the models that
 * the target reports as loaded, empty if it reports none or more than fit into a fact. Immutable, thus thread-safe.
 */
record TargetOccupancy(int slots, int running, int waiting, long expectedWaitMs, SortedSet<String> loaded) {

    /** Leaves space in a fact for the numbers and for the length of each name. */
    static final int MAX_LOADED_CHARS = 300;

    TargetOccupancy {
        Objects.requireNonNull(loaded, "loaded must not be null");
        int chars = loaded.stream().mapToInt(name -> name.length() + 2).sum();
        loaded = chars > MAX_LOADED_CHARS ? new TreeSet<>() : new TreeSet<>(loaded);
    }
}
