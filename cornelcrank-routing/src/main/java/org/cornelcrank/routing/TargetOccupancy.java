package org.cornelcrank.routing;

import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * What a controller tells others of its target's occupancy.
 *
 * <p>{@code expectedWaitMs} is what an urgent request would wait for a permit. {@code loaded} names the models that the
 * target reports as loaded, empty where it reports none. Immutable, thus thread-safe.
 */
record TargetOccupancy(int slots, int running, int waiting, long expectedWaitMs, SortedSet<String> loaded) {

    TargetOccupancy {
        Objects.requireNonNull(loaded, "loaded must not be null");
        loaded = new TreeSet<>(loaded);
    }
}
