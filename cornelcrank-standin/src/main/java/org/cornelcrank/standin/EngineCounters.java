package org.cornelcrank.standin;

/**
 * Cumulative counters of an engine since its creation.
 *
 * <p>{@code busySlotMs} is the sum over all slots. {@code cachedPromptTokens} are the {@code promptTokens} found in the
 * cache. {@code paused} counts disconnects of callers during a generation that is retained for a resume;
 * {@code discardedTokens} counts the tokens of generations that were discarded before their end. Immutable, thus
 * thread-safe.
 */
public record EngineCounters(
        long started,
        long generatedTokens,
        long busySlotMs,
        long promptTokens,
        long cachedPromptTokens,
        long paused,
        long discardedTokens,
        long crashes) {

    public static final EngineCounters ZERO = new EngineCounters(0, 0, 0, 0, 0, 0, 0, 0);

    /** Returns the sum of these counters and others. */
    public EngineCounters plus(EngineCounters other) {
        return new EngineCounters(
                started + other.started,
                generatedTokens + other.generatedTokens,
                busySlotMs + other.busySlotMs,
                promptTokens + other.promptTokens,
                cachedPromptTokens + other.cachedPromptTokens,
                paused + other.paused,
                discardedTokens + other.discardedTokens,
                crashes + other.crashes);
    }

    /** Returns the increase since an earlier state. */
    public EngineCounters since(EngineCounters earlier) {
        return new EngineCounters(
                started - earlier.started,
                generatedTokens - earlier.generatedTokens,
                busySlotMs - earlier.busySlotMs,
                promptTokens - earlier.promptTokens,
                cachedPromptTokens - earlier.cachedPromptTokens,
                paused - earlier.paused,
                discardedTokens - earlier.discardedTokens,
                crashes - earlier.crashes);
    }
}
