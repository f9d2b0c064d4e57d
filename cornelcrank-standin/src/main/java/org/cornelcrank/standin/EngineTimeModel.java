package org.cornelcrank.standin;

/**
 * The timing of an engine, in microseconds (us).
 *
 * <p>A generation that gets a slot first spends {@code prefillUsPerToken} for each prompt token that is not in the
 * cache, which holds complete blocks of 64 tokens. Each output token then takes {@code outputUsPerToken}, increased by
 * the fraction {@code slowdownPerRunning} for each other generation that runs when the token starts. Immutable, thus
 * thread-safe.
 */
public record EngineTimeModel(double prefillUsPerToken, double outputUsPerToken, double slowdownPerRunning) {

    public EngineTimeModel {
        if (prefillUsPerToken < 0 || outputUsPerToken < 0 || slowdownPerRunning < 0) {
            throw new IllegalArgumentException("times and slowdown must not be negative");
        }
    }

    long prefillUs(int uncachedTokens, double slowFactor) {
        return Math.round(prefillUsPerToken * uncachedTokens * slowFactor);
    }

    long outputTokenUs(int running, double slowFactor) {
        return Math.round(outputUsPerToken * (1 + slowdownPerRunning * Math.max(0, running - 1)) * slowFactor);
    }
}
