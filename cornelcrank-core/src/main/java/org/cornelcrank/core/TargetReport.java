package org.cornelcrank.core;

import java.util.Objects;
import java.util.Set;

/**
 * A target's report of its own state, which lags behind the actual state.
 *
 * <p>Invariant: counts are not negative. Immutable, thus thread-safe.
 */
public record TargetReport(
        TargetId target,
        long measuredAtMs,
        int slots,
        int running,
        int queued,
        Set<String> loaded,
        boolean leaving,
        long fencingNumber) {

    public TargetReport {
        Objects.requireNonNull(target, "target must not be null");
        loaded = Set.copyOf(loaded);
    }
}
