package org.cornelcrank.cli.load;

import java.util.List;
import java.util.Map;

import org.cornelcrank.standin.EngineCounters;

/**
 * The measurements of one run of a scenario.
 *
 * <p>{@code label} names the run, for example {@code prefix-affinity with batch}. All values cover the measured window
 * only, without the warm-up. {@code slots} is the total over all engines. {@code batchItems} of a sample is the number
 * of items that completed since the start of the window. Immutable, thus thread-safe.
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

    /**
     * Measurements of one stream; {@code latestSendMs} is the maximum delay of a request caused by the generator
     * itself.
     */
    public record StreamResult(
            String stream,
            long complete,
            Map<String, Long> failures,
            long tokens,
            LatencySummary firstToken,
            LatencySummary betweenTokens,
            LatencySummary total,
            double latestSendMs) {}

    /** Batch items that ended within the window; {@code ranOut} is true if no items were left at its end. */
    public record BatchResult(long completedItems, long failedItems, boolean ranOut) {}

    /** Busy slots and completed batch items at a time of the run. */
    public record Sample(long atMs, double busySlots, long batchItems) {}

    double idleSlotSeconds() {
        return (slots * windowMs - engines.busySlotMs()) / 1_000.0;
    }

    double batchItemsPerSecond() {
        return batch.completedItems() * 1_000.0 / windowMs;
    }

    /** Returns the share of generated tokens that belong to generations discarded before their end. */
    double discardedShare() {
        return engines.generatedTokens() == 0 ? 0 : (double) engines.discardedTokens() / engines.generatedTokens();
    }

    /** Returns the share of prompt tokens that were found in the engines' caches. */
    double cachedShare() {
        return engines.promptTokens() == 0 ? 0 : (double) engines.cachedPromptTokens() / engines.promptTokens();
    }
}
