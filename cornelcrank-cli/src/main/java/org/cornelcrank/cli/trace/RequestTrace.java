package org.cornelcrank.cli.trace;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Selects the log lines of one request, job or item and orders them causally, independent of clock skew between hosts.
 *
 * <p>Lines of the same host keep their order. Between hosts, the line that forwards a write to a peer precedes the line
 * of the peer that performs it, and an owner precedes the owners with higher epochs; the clocks decide only between
 * lines without such a relation. Stateless, thus thread-safe.
 */
public final class RequestTrace {

    private static final Pattern EPOCH = Pattern.compile("epoch (\\d+)");
    private static final Pattern WRITTEN_THROUGH = Pattern.compile("written through (\\S+)");
    private static final Pattern WRITTEN_FOR = Pattern.compile("written for (\\S+)");

    private RequestTrace() {}

    /** Returns the lines that belong to an id, in causal order. */
    public static List<LogLine> of(String id, Collection<LogLine> lines) {
        return ordered(related(id, lines));
    }

    /**
     * Returns the lines of an id and, transitively, of the ids that these lines relate it to, such as the items of a
     * job.
     */
    private static List<LogLine> related(String id, Collection<LogLine> lines) {
        Set<String> ids = new HashSet<>(Set.of(id));
        Set<LogLine> found = new HashSet<>();
        Deque<String> pending = new ArrayDeque<>(ids);
        while (!pending.isEmpty()) {
            String current = pending.remove();
            for (LogLine line : lines) {
                if (line.mentions(current) && found.add(line)) {
                    for (String other : List.of(line.field("request"), line.field("id"))) {
                        if (!other.isEmpty() && ids.add(other)) {
                            pending.add(other);
                        }
                    }
                }
            }
        }
        return lines.stream().filter(found::contains).toList();
    }

    private static List<LogLine> ordered(List<LogLine> lines) {
        Map<String, Deque<LogLine>> byHost = new TreeMap<>();
        lines.stream().sorted(Comparator.comparingInt(LogLine::number)).forEach(line -> byHost.computeIfAbsent(
                        line.host(), host -> new ArrayDeque<>())
                .add(line));
        Map<LogLine, OrderHint> hints = orderHints(lines);
        List<LogLine> ordered = new ArrayList<>();
        while (ordered.size() < lines.size()) {
            LogLine next = byHost.values().stream()
                    .map(Deque::peek)
                    .filter(Objects::nonNull)
                    .min(Comparator.comparing((LogLine line) -> hasPredecessor(line, hints))
                            .thenComparingLong(LogLine::atMs))
                    .orElseThrow();
            byHost.get(next.host()).remove();
            hints.remove(next);
            ordered.add(next);
        }
        return ordered;
    }

    /** Returns the lines that imply an order between hosts, each with its hint. */
    private static Map<LogLine, OrderHint> orderHints(List<LogLine> lines) {
        Map<LogLine, OrderHint> hints = new HashMap<>();
        for (LogLine line : lines) {
            OrderHint hint = new OrderHint(
                    group(WRITTEN_THROUGH, line.field("decision")),
                    group(WRITTEN_FOR, line.field("decision")),
                    group(EPOCH, line.field("reason")));
            if (!hint.equals(OrderHint.NONE)) {
                hints.put(line, hint);
            }
        }
        return hints;
    }

    /** Returns whether a line of another host that has not been placed yet precedes the line. */
    private static boolean hasPredecessor(LogLine line, Map<LogLine, OrderHint> hints) {
        OrderHint hint = hints.get(line);
        return hint != null
                && hints.entrySet().stream().anyMatch(other -> precedes(other.getKey(), other.getValue(), line, hint));
    }

    private static boolean precedes(LogLine other, OrderHint otherHint, LogLine line, OrderHint hint) {
        if (other.host().equals(line.host()) || !other.field("id").equals(line.field("id"))) {
            return false;
        }
        if (other.host().equals(hint.writtenFor)) {
            return line.host().equals(otherHint.writtenThrough);
        }
        return !otherHint.epoch.isEmpty()
                && !hint.epoch.isEmpty()
                && Long.parseLong(otherHint.epoch) < Long.parseLong(hint.epoch);
    }

    private static String group(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }

    /** Formats the lines of a trace: host, time since the first line of that host, and what happened. */
    public static List<String> format(List<LogLine> lines) {
        Map<String, Long> firstAtMs = new LinkedHashMap<>();
        List<String> text = new ArrayList<>();
        int width = lines.stream().mapToInt(line -> line.host().length()).max().orElse(0);
        for (LogLine line : lines) {
            long sinceMs = line.atMs() - firstAtMs.computeIfAbsent(line.host(), host -> line.atMs());
            text.add(("%-" + width + "s %+7d ms  %s").formatted(line.host(), sinceMs, describe(line)));
        }
        return text;
    }

    private static String describe(LogLine line) {
        Map<String, String> fields = new LinkedHashMap<>(line.fields());
        fields.remove("leftOut", "0");
        String kind = fields.remove("kind");
        String decision = fields.remove("decision");
        String reason = fields.remove("reason");
        StringBuilder text = new StringBuilder();
        if (decision == null) {
            text.append(line.message());
        } else {
            text.append(kind)
                    .append(' ')
                    .append(fields.remove("id"))
                    .append(": ")
                    .append(decision);
            text.append("; ").append(reason);
        }
        fields.forEach(
                (name, value) -> text.append(", ").append(name).append('=').append(value));
        return text.toString();
    }

    /** The order between hosts that a line implies; parts that it does not state are empty. */
    private record OrderHint(String writtenThrough, String writtenFor, String epoch) {

        private static final OrderHint NONE = new OrderHint("", "", "");
    }
}
