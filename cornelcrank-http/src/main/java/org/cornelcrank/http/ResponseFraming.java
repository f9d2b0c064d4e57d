package org.cornelcrank.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;

/**
 * What the head of a response states about the end of its body.
 *
 * <p>Invariant: a body has at most one of a length and chunks. Not thread-safe: one for each connection.
 */
final class ResponseFraming {

    /** The length of a body that ends in another way. */
    static final long NO_LENGTH = -1;

    private static final int MAX_LENGTH_DIGITS = 18;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private int status;
    private boolean version10;
    private boolean chunked;
    private long lengthBytes;

    /** Begins a head. */
    void begin(int headStatus, boolean headVersion10) {
        status = headStatus;
        version10 = headVersion10;
        chunked = false;
        lengthBytes = NO_LENGTH;
    }

    /**
     * Adds a field from {@code start} to {@code end}, exclusive.
     *
     * @throws MalformedResponseException if it states an end that is not defined, or another end than a former field
     */
    void addField(ByteBuf bytes, int start, int nameEnd, int end) {
        if (isName(HttpHeaderNames.CONTENT_LENGTH, bytes, start, nameEnd)) {
            lengthBytes = parseLength(value(bytes, nameEnd, end));
        } else if (isName(HttpHeaderNames.TRANSFER_ENCODING, bytes, start, nameEnd)) {
            requireChunked(value(bytes, nameEnd, end));
            chunked = true;
        }
    }

    private static boolean isName(CharSequence name, ByteBuf bytes, int start, int end) {
        return end - start == name.length()
                && name.toString().equalsIgnoreCase(bytes.toString(start, end - start, StandardCharsets.US_ASCII));
    }

    /** Returns a field's value without the blanks around it. */
    private static String value(ByteBuf bytes, int nameEnd, int end) {
        int first = nameEnd + 1;
        int behind = end;
        while (first < behind && ResponseLines.isBlank(bytes.getByte(first))) {
            first++;
        }
        while (first < behind && ResponseLines.isBlank(bytes.getByte(behind - 1))) {
            behind--;
        }
        return bytes.toString(first, behind - first, StandardCharsets.ISO_8859_1);
    }

    private long parseLength(String value) {
        boolean digits = !value.isEmpty()
                && value.length() <= MAX_LENGTH_DIGITS
                && value.chars().allMatch(character -> character >= '0' && character <= '9');
        if (!digits || lengthBytes != NO_LENGTH) {
            throw new MalformedResponseException(
                    "the response must state at most one length in bytes but stated '" + value + "'");
        }
        return Long.parseLong(value);
    }

    private void requireChunked(String value) {
        if (!HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(value) || chunked) {
            throw new MalformedResponseException(
                    "the only transfer coding must be chunked, stated once, but was '" + value + "'");
        }
    }

    /**
     * Checks the end of a head.
     *
     * @throws MalformedResponseException if the fields contradict each other, the status or the version
     */
    void requireConsistent() {
        if (chunked && (version10 || lengthBytes != NO_LENGTH)) {
            throw new MalformedResponseException("a response in chunks must be HTTP/1.1 and must not state a length");
        }
        if (status == NO_CONTENT && (chunked || lengthBytes > 0)) {
            throw new MalformedResponseException("a response with status 204 must not have a body");
        }
    }

    /** Returns whether the body is in chunks. */
    boolean chunked() {
        return chunked && status != NOT_MODIFIED;
    }

    /** Returns the length of the body in bytes, or {@link #NO_LENGTH}. */
    long lengthBytes() {
        return status == NO_CONTENT || status == NOT_MODIFIED ? 0 : lengthBytes;
    }
}
