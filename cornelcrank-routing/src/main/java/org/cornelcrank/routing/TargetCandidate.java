package org.cornelcrank.routing;

import java.util.Objects;

import org.cornelcrank.core.Location;
import org.cornelcrank.core.TargetId;

/**
 * A target that may serve a request, as the choosing daemon sees it.
 *
 * <p>{@code inUse} and {@code waiting} are adjusted for what this daemon has done since the last occupancy it received;
 * {@code reportedLoad} comes only from the target's own report, which lags. {@code cachedPrefixes} counts the request's
 * prefixes that the target probably has cached. {@code admittedShare} is below 1 for a target that returns from
 * ejection. Immutable, thus thread-safe.
 */
public record TargetCandidate(
        TargetId target,
        Location.Distance distance,
        int slots,
        int inUse,
        int waiting,
        int reportedLoad,
        int cachedPrefixes,
        double admittedShare) {

    public TargetCandidate {
        Objects.requireNonNull(target, "target must not be null");
        Objects.requireNonNull(distance, "distance must not be null");
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1 but was " + slots);
        }
    }

    /** Returns whether a request would find a free slot. */
    public boolean hasCapacity() {
        return inUse < slots && waiting == 0;
    }

    /** Returns the occupied share of the slots, above 1 if requests wait. */
    public double load() {
        return (double) (inUse + waiting) / slots;
    }
}
