package org.cornelcrank.server.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Map;
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

    /** A status line that a header follows, rather than a field of an event. */
    private static final Pattern HEAD =
            Pattern.compile("HTTP/1\\.[01] \\d{3}(?: [^\r\n]*)?\r\n(?!data:|id:|event:|retry:)[!-9;-~]+:");

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
     * Checks that no other response begins inside a body or an event.
     *
     * @throws IllegalStateException if one does
     */
    static void requireNone(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int start = text.indexOf(VERSION);
        if (start >= 0 && HEAD.matcher(text).region(start, text.length()).find()) {
            throw new IllegalStateException("another response begins inside the response");
        }
    }
}
