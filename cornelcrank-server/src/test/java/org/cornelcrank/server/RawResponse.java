package org.cornelcrank.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * What a caller read from its connection; complete if the framing says so. The status is 0 without a whole head.
 *
 * <p>Immutable by convention: the headers, whose names are in lower case, must not be modified.
 */
record RawResponse(int status, Map<String, String> headers, String body, boolean complete) {

    String signature() {
        return headers.getOrDefault("response-signature", "");
    }

    /** Reads to the end of the connection and applies the framing of HTTP/1.1 to what was read. */
    static RawResponse read(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            in.transferTo(bytes);
        } catch (SocketException e) {
            // What was read before the reset counts.
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        int headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return new RawResponse(0, Map.of(), text, false);
        }
        Map<String, String> headers = new LinkedHashMap<>();
        text.substring(0, headEnd)
                .lines()
                .skip(1)
                .forEach(line -> headers.put(
                        line.substring(0, line.indexOf(':')).toLowerCase(Locale.ROOT),
                        line.substring(line.indexOf(':') + 1).strip()));
        int status = Integer.parseInt(text.substring(9, 12));
        String rest = text.substring(headEnd + 4);
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            return unchunk(status, headers, rest);
        }
        String length = headers.get("content-length");
        return new RawResponse(status, headers, rest, length == null || rest.length() == Integer.parseInt(length));
    }

    private static RawResponse unchunk(int status, Map<String, String> headers, String text) {
        StringBuilder body = new StringBuilder();
        int at = 0;
        while (true) {
            int lineEnd = text.indexOf("\r\n", at);
            if (lineEnd < 0) {
                return new RawResponse(status, headers, body.toString(), false);
            }
            int size = Integer.parseInt(text.substring(at, lineEnd), 16);
            int end = lineEnd + 2 + size;
            if (size == 0) {
                return new RawResponse(
                        status,
                        headers,
                        body.toString(),
                        text.substring(lineEnd).equals("\r\n\r\n"));
            }
            body.append(text, lineEnd + 2, Math.min(end, text.length()));
            at = Math.min(end + 2, text.length());
        }
    }
}
