package org.cornelcrank.cli.load;

import java.util.List;
import java.util.Map;

import org.cornelcrank.standin.EngineCounters;

/**
 * What one run of a scenario gave.
 *
 * <p>{@code label} names the run, as in {@code prefix-affinity with batch}. Times of the measured window only, without
 * the warm-up. {@code slots} is the number over all engines. {@code batchItems} counts items that ended within the
 * window. Immutable, thus thread-safe.
 */
public record RunResult(
        String policy,
        String label,
        boolean withBatch,
        long windowMs,
        List<StreamResult> streams,
        BatchResult batch,
        int slots,
        EngineCounters engines,
        Map<String, Long> linkBytes,
        List<Sample> samples) {

    public RunResult {
        streams = List.copyOf(streams);
        linkBytes = Map.copyOf(linkBytes);
        samples = List.copyOf(samples);
    }

    /** What the callers of one stream saw; {@code latestSendMs} is the generator's own greatest delay. */
    public record StreamResult(
            String stream,
            long complete,
            Map<String, Long> failures,
            long tokens,
            LatencySummary firstToken,
            LatencySummary betweenTokens,
            LatencySummary total,
            double latestSendMs) {}

    /** How far batch work came within the window. */
    public record BatchResult(long completedItems, long failedItems, boolean ranOut) {}

    /** Busy slots and ended batch items at a time of the run. */
    public record Sample(long atMs, double busySlots, long batchItems) {}

    double idleSlotSeconds() {
        return (slots * windowMs - engines.busySlotMs()) / 1_000.0;
    }

    double batchItemsPerSecond() {
        return batch.completedItems() * 1_000.0 / windowMs;
    }

    /** Returns the share of generated tokens that came of generations dropped before their end. */
    double discardedShare() {
        return engines.generatedTokens() == 0 ? 0 : (double) engines.discardedTokens() / engines.generatedTokens();
    }

    /** Returns the share of prompt tokens that the engines' caches held. */
    double cachedShare() {
        return engines.promptTokens() == 0 ? 0 : (double) engines.cachedPromptTokens() / engines.promptTokens();
    }
}
