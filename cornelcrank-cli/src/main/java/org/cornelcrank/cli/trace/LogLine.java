package org.cornelcrank.cli.trace;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * A line of a host's log; {@code number} is its line number on that host, and {@code atMs} the time by the host's
 * clock.
 *
 * <p>Immutable, thus thread-safe.
 */
public record LogLine(String host, int number, long atMs, String message, Map<String, String> fields) {

    public LogLine {
        Objects.requireNonNull(host, "host must not be null");
        Objects.requireNonNull(message, "message must not be null");
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /** Returns the value of a field, or an empty string if the field is missing. */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /** Returns whether the message or a field contains the id as a complete word. */
    boolean mentions(String id) {
        return containsWord(message, id) || fields.values().stream().anyMatch(value -> containsWord(value, id));
    }

    private static boolean containsWord(String text, String word) {
        for (int start = text.indexOf(word); start >= 0; start = text.indexOf(word, start + 1)) {
            int end = start + word.length();
            boolean startsWord = start == 0 || !isPartOfId(text.charAt(start - 1));
            if (startsWord && (end == text.length() || !isPartOfId(text.charAt(end)))) {
                return true;
            }
        }
        return false;
    }

    private static boolean isPartOfId(char character) {
        return Character.isLetterOrDigit(character) || character == '-' || character == '/' || character == '_';
    }
}
