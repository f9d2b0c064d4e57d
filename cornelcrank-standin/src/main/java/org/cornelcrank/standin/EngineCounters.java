package org.cornelcrank.standin;

/**
 * What an engine has done since it was created.
 *
 * <p>{@code busySlotMs} adds up over the slots. {@code prefixLookups} counts requests with prefix hashes, and
 * {@code prefixHits} those of which at least one was cached. Immutable, thus thread-safe.
 */
public record EngineCounters(
        long started, long generatedTokens, long busySlotMs, long prefixLookups, long prefixHits, long crashes) {}
