package org.cornelcrank.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Formats results as table rows and summary lines.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class LoadTables {

    public static final List<String> LATENCY_HEADINGS = List.of(
            "RUN",
            "STREAM",
            "DONE",
            "FAILED",
            "TTFT p50",
            "p90",
            "p99",
            "max",
            "BETWEEN p50",
            "p99",
            "TOTAL p50",
            "p99");
    public static final List<String> FLEET_HEADINGS = List.of(
            "RUN",
            "BATCH ITEMS/s",
            "BATCH FAILED",
            "BUSY SLOT-s",
            "IDLE SLOT-s",
            "PREEMPTED",
            "DISCARDED TOKENS",
            "CACHED PROMPT",
            "LINK BYTES");

    private LoadTables() {}

    /** Returns one row for each stream of each run; times are in ms. */
    public static List<List<String>> latencyRows(List<RunResult> results) {
        List<List<String>> rows = new ArrayList<>();
        for (RunResult result : results) {
            for (RunResult.StreamResult stream : result.streams()) {
                rows.add(List.of(
                        result.label(),
                        stream.stream(),
                        Long.toString(stream.complete()),
                        failures(stream.failures()),
                        ms(stream.firstToken().p50Ms()),
                        ms(stream.firstToken().p90Ms()),
                        ms(stream.firstToken().p99Ms()),
                        ms(stream.firstToken().maxMs()),
                        ms(stream.betweenTokens().p50Ms()),
                        ms(stream.betweenTokens().p99Ms()),
                        ms(stream.total().p50Ms()),
                        ms(stream.total().p99Ms())));
            }
        }
        return rows;
    }

    /** Returns one row for each run. */
    public static List<List<String>> fleetRows(List<RunResult> results) {
        List<List<String>> rows = new ArrayList<>();
        for (RunResult result : results) {
            rows.add(List.of(
                    result.label(),
                    result.withBatch() ? number(result.batchItemsPerSecond()) + ranOut(result) : "-",
                    Long.toString(result.batch().failedItems()),
                    number(result.engines().busySlotMs() / 1_000.0),
                    number(result.idleSlotSeconds()),
                    Long.toString(result.engines().paused()),
                    result.engines().discardedTokens() + " (" + percent(result.discardedShare()) + ")",
                    percent(result.cachedShare()),
                    result.linkBytes().isEmpty() ? "-" : result.linkBytes().toString()));
        }
        return rows;
    }

    /**
     * Returns one line for each policy on how batch work affects online latency and how much idle slot time it uses.
     */
    public static List<String> comparisons(List<RunResult> results) {
        List<String> lines = new ArrayList<>();
        for (RunResult with : results) {
            results.stream()
                    .filter(without -> with.withBatch() && !without.withBatch())
                    .filter(without -> without.policy().equals(with.policy()))
                    .forEach(without -> lines.add(comparison(without, with)));
        }
        return lines;
    }

    /** Returns one line for each stream on the latency of routed requests compared to direct ones. */
    public static List<String> addedLatency(List<RunResult> results) {
        List<String> lines = new ArrayList<>();
        for (RunResult result : results) {
            Map<String, RunResult.StreamResult> byName = result.streams().stream()
                    .collect(Collectors.toMap(RunResult.StreamResult::stream, stream -> stream));
            byName.forEach((name, routed) -> {
                RunResult.StreamResult direct = byName.get(name + " direct");
                if (direct != null) {
                    lines.add(result.label() + ", " + name + ": added to the first token p50 "
                            + ms(routed.firstToken().p50Ms()
                                    - direct.firstToken().p50Ms()) + " ms, p99 "
                            + ms(routed.firstToken().p99Ms()
                                    - direct.firstToken().p99Ms())
                            + " ms; to the complete response p50 "
                            + ms(routed.total().p50Ms() - direct.total().p50Ms()) + " ms, p99 "
                            + ms(routed.total().p99Ms() - direct.total().p99Ms()) + " ms");
                }
            });
        }
        return lines;
    }

    private static String comparison(RunResult without, RunResult with) {
        StringBuilder line = new StringBuilder(with.policy()).append(": ");
        for (RunResult.StreamResult stream : with.streams()) {
            without.streams().stream()
                    .filter(other -> other.stream().equals(stream.stream()))
                    .forEach(other -> line.append(stream.stream())
                            .append(" first token with batch p50 x")
                            .append(ratio(
                                    stream.firstToken().p50Ms(),
                                    other.firstToken().p50Ms()))
                            .append(" p99 x")
                            .append(ratio(
                                    stream.firstToken().p99Ms(),
                                    other.firstToken().p99Ms()))
                            .append("; "));
        }
        double idleSlotMs = without.slots() * (double) without.windowMs()
                - without.engines().busySlotMs();
        double usedSlotMs = with.engines().busySlotMs() - without.engines().busySlotMs();
        return line.append("batch uses ")
                .append(percent(idleSlotMs <= 0 ? 0 : usedSlotMs / idleSlotMs))
                .append(" of the slot time that online requests leave idle")
                .toString();
    }

    private static String ranOut(RunResult result) {
        return result.batch().ranOut() ? " (ran out)" : "";
    }

    private static String failures(Map<String, Long> failures) {
        return failures.isEmpty()
                ? "0"
                : failures.entrySet().stream()
                        .map(entry -> entry.getValue() + "x " + entry.getKey())
                        .collect(Collectors.joining(", "));
    }

    private static String ms(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static String ratio(double value, double base) {
        return base == 0 ? "-" : String.format(Locale.ROOT, "%.2f", value / base);
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f %%", share * 100);
    }
}
