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
 * Picks the lines of one request, job or item, and puts them in an order that holds whatever the hosts' clocks say.
 *
 * <p>A host's own lines keep their order. Between hosts, what is written through a host precedes its writing, and an owner
 * under a lower epoch precedes the next one; only where nothing of this kind is known do the clocks decide. Stateless, thus
 * thread-safe.
 */
public final class RequestTrace {

    private static final Pattern EPOCH = Pattern.compile("epoch (\\d+)");
    private static final Pattern WRITTEN_THROUGH = Pattern.compile("written through (\\S+)");
    private static final Pattern WRITTEN_FOR = Pattern.compile("written for (\\S+)");

    private RequestTrace() {}

    /** Returns the lines that belong to an id, in their order. */
    public static List<LogLine> of(String id, Collection<LogLine> lines) {
        return ordered(related(id, lines));
    }

    /** Follows the id to the ids under which hosts know the request, and a job's id to its items. */
    private static List<LogLine> related(String id, Collection<LogLine> lines) {
        Set<String> known = new HashSet<>(Set.of(id));
        Set<LogLine> found = new HashSet<>();
        Deque<String> next = new ArrayDeque<>(known);
        while (!next.isEmpty()) {
            String sought = next.remove();
            for (LogLine line : lines) {
                if (line.names(sought) && found.add(line)) {
                    for (String other : List.of(line.field("request"), line.field("id"))) {
                        if (!other.isEmpty() && known.add(other)) {
                            next.add(other);
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
        Map<LogLine, Mark> marks = marks(lines);
        List<LogLine> ordered = new ArrayList<>();
        while (ordered.size() < lines.size()) {
            LogLine first = byHost.values().stream()
                    .map(Deque::peek)
                    .filter(Objects::nonNull)
                    .min(Comparator.comparing((LogLine line) -> waitsForOther(line, marks))
                            .thenComparingLong(LogLine::atMs))
                    .orElseThrow();
            byHost.get(first.host()).remove();
            marks.remove(first);
            ordered.add(first);
        }
        return ordered;
    }

    /** Returns the lines that say of an order between hosts, with what they say. */
    private static Map<LogLine, Mark> marks(List<LogLine> lines) {
        Map<LogLine, Mark> marks = new HashMap<>();
        for (LogLine line : lines) {
            Mark mark = new Mark(
                    group(WRITTEN_THROUGH, line.field("decision")),
                    group(WRITTEN_FOR, line.field("decision")),
                    group(EPOCH, line.field("reason")));
            if (!mark.equals(Mark.NONE)) {
                marks.put(line, mark);
            }
        }
        return marks;
    }

    /** Returns whether a line that has not come yet, of another host, precedes the line. */
    private static boolean waitsForOther(LogLine line, Map<LogLine, Mark> marks) {
        Mark mark = marks.get(line);
        return mark != null
                && marks.entrySet().stream().anyMatch(other -> precedes(other.getKey(), other.getValue(), line, mark));
    }

    private static boolean precedes(LogLine other, Mark otherMark, LogLine line, Mark mark) {
        if (other.host().equals(line.host()) || !other.field("id").equals(line.field("id"))) {
            return false;
        }
        if (other.host().equals(mark.writtenFor)) {
            return line.host().equals(otherMark.writtenThrough);
        }
        return !otherMark.epoch.isEmpty()
                && !mark.epoch.isEmpty()
                && Long.parseLong(otherMark.epoch) < Long.parseLong(mark.epoch);
    }

    private static String group(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }

    /** Returns the text of a story: host, time since that host's first line of it, and what happened. */
    public static List<String> text(List<LogLine> story) {
        Map<String, Long> firstAtMs = new LinkedHashMap<>();
        List<String> text = new ArrayList<>();
        int width = story.stream().mapToInt(line -> line.host().length()).max().orElse(0);
        for (LogLine line : story) {
            long sinceMs = line.atMs() - firstAtMs.computeIfAbsent(line.host(), host -> line.atMs());
            text.add(("%-" + width + "s %+7d ms  %s").formatted(line.host(), sinceMs, what(line)));
        }
        return text;
    }

    private static String what(LogLine line) {
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

    /** What a line says of the order between hosts; empty where it says nothing. */
    private record Mark(String writtenThrough, String writtenFor, String epoch) {

        private static final Mark NONE = new Mark("", "", "");
    }
}
