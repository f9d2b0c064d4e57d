package org.cornelcrank.server.gateway;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Finds the status line of a second response inside the head of a first one.
 *
 * <p>Such a head is made of the first bytes of one response and of another whole response: a decoder takes the second
 * status line for the rest of the first reason phrase, or of a header, so that status, framing and headers come from two
 * responses. Stateless, thus thread-safe.
 */
final class StatusLines {

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private StatusLines() {}

    /** Returns whether a status line stands in the reason phrase or in a header. */
    static boolean standIn(String reasonPhrase, HttpHeaders headers) {
        if (standsIn(reasonPhrase)) {
            return true;
        }
        for (Map.Entry<String, String> header : headers) {
            if (standsIn(header.getKey()) || standsIn(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean standsIn(String text) {
        // Most values do not even hold the name of the protocol, and the pattern costs more.
        return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
    }
}
