package org.cornelcrank.server.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Recognizes responses inside of which another response begins.
 *
 * <p>A target that breaks off a response and then writes another one leaves a head, a body or an event that looks
 * complete, but holds parts of both. Stateless, thus thread-safe.
 */
final class SplicedResponses {

    private static final String VERSION = "HTTP/1.";

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

    private static final int STATUS_LINE_BYTES = "HTTP/1.1 200".length();

    private static final Set<String> EVENT_FIELDS = Set.of("data", "id", "event", "retry");

    private SplicedResponses() {}

    /**
     * Returns whether the status line of another response stands in the reason phrase or in a header.
     *
     * <p>The first bytes of one response in front of another whole one make such a head: its status and framing come
     * from the first, its id and signature from the second.
     */
    static boolean inHead(String reasonPhrase, HttpHeaders headers) {
        if (holdsStatusLine(reasonPhrase)) {
            return true;
        }
        for (Map.Entry<String, String> header : headers) {
            if (holdsStatusLine(header.getKey()) || holdsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean holdsStatusLine(String text) {
        return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
    }

    /**
     * Checks that no other response begins inside a body or an event: that no status line is followed by a header.
     *
     * <p>Reads each byte a bounded number of times, as targets choose the bytes.
     *
     * @throws IllegalStateException if one does
     */
    static void requireNone(byte[] bytes) {
        int lineStart = 0;
        for (int lineEnd = 0; lineEnd < bytes.length - 1; lineEnd++) {
            if (bytes[lineEnd] != '\r' || bytes[lineEnd + 1] != '\n') {
                continue;
            }
            int nextLine = lineEnd + 2;
            if (holdsStatusLine(bytes, lineStart, lineEnd) && beginsWithHeader(bytes, nextLine)) {
                throw new IllegalStateException("another response begins inside the response");
            }
            lineStart = nextLine;
        }
    }

    private static boolean holdsStatusLine(byte[] bytes, int lineStart, int lineEnd) {
        for (int start = lineStart; start <= lineEnd - STATUS_LINE_BYTES; start++) {
            if (bytes[start] == 'H' && bytes[start + 4] == '/' && isStatusLine(bytes, start, lineEnd)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isStatusLine(byte[] bytes, int start, int lineEnd) {
        int end = start + STATUS_LINE_BYTES;
        return (end == lineEnd || bytes[end] == ' ')
                && STATUS_LINE
                        .matcher(new String(bytes, start, STATUS_LINE_BYTES, StandardCharsets.ISO_8859_1))
                        .matches();
    }

    /** Returns whether a header begins there, rather than a field of an event. */
    private static boolean beginsWithHeader(byte[] bytes, int start) {
        int end = start;
        while (end < bytes.length && bytes[end] > ' ' && bytes[end] <= '~' && bytes[end] != ':') {
            end++;
        }
        boolean named = end > start && end < bytes.length && bytes[end] == ':';
        return named && !EVENT_FIELDS.contains(new String(bytes, start, end - start, StandardCharsets.ISO_8859_1));
    }
}
