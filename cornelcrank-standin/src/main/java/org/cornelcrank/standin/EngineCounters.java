package org.cornelcrank.standin;

/**
 * What an engine has done since it was created.
 *
 * <p>{@code busySlotMs} adds up over the slots. {@code cachedPromptTokens} are those of the {@code promptTokens} that the
 * cache held. {@code paused} counts hang-ups in the middle of a generation that is kept for a resume;
 * {@code discardedTokens} are those of generations that were dropped before their end. Immutable, thus thread-safe.
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

    /** Returns the sum of both. */
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

    /** Returns what has been done since the earlier state. */
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
