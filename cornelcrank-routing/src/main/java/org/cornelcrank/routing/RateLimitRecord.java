package org.cornelcrank.routing;

import java.util.OptionalDouble;

/**
 * The rate of requests that a target accepts from all daemons together, empty if it has no limit.
 *
 * <p>{@code knownAtMs} is when this daemon learned it, {@code version} that of the fact that told it. Immutable, thus
 * thread-safe.
 */
record RateLimitRecord(OptionalDouble maxRequestsPerSecond, long knownAtMs, long version) {

    /** The record of a target that has stated nothing. */
    static final RateLimitRecord NONE = new RateLimitRecord(OptionalDouble.empty(), 0, 0);
}
