package org.cornelcrank.cli.trace;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * One line of a host's log; {@code number} counts the lines of that host, and {@code atMs} is by its clock.
 *
 * <p>Immutable, thus thread-safe.
 */
public record LogLine(String host, int number, long atMs, String message, Map<String, String> fields) {

    public LogLine {
        Objects.requireNonNull(host, "host must not be null");
        Objects.requireNonNull(message, "message must not be null");
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /** Returns a field's value, empty where there is none. */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /** Returns whether a field or the message names the id as a whole word. */
    boolean names(String id) {
        return holdsWord(message, id) || fields.values().stream().anyMatch(value -> holdsWord(value, id));
    }

    private static boolean holdsWord(String text, String word) {
        for (int at = text.indexOf(word); at >= 0; at = text.indexOf(word, at + 1)) {
            int end = at + word.length();
            boolean begins = at == 0 || !isPartOfId(text.charAt(at - 1));
            if (begins && (end == text.length() || !isPartOfId(text.charAt(end)))) {
                return true;
            }
        }
        return false;
    }

    private static boolean isPartOfId(char character) {
        return Character.isLetterOrDigit(character) || character == '-' || character == '/' || character == '_';
    }
}
