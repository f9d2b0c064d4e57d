package org.cornelcrank.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;

/**
 * The grammar of the lines of a response (RFC 9112), applied to bytes from {@code start} to {@code end}, exclusive and
 * without the line's end.
 *
 * <p>Stateless, thus thread-safe.
 */
final class ResponseLines {

    private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final int STATUS_START = "HTTP/1.1 ".length();
    private static final int STATUS_END = "HTTP/1.1 200".length();
    private static final int DECIMAL = 10;
    private static final int HEXADECIMAL = 16;
    private static final int FIRST_STATUS = 100;
    private static final int LAST_STATUS = 599;
    private static final int DELETE = 0x7f;
    private static final int MAX_QUOTED_BYTES = 80;

    private static final boolean[] TOKEN_CHARACTERS = new boolean[DELETE];

    static {
        "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                .chars()
                .forEach(character -> TOKEN_CHARACTERS[character] = true);
    }

    private ResponseLines() {}

    /**
     * Returns the status that a status line states.
     *
     * <p>Versions other than 1.0 and 1.1 are not valid, as no other version has this syntax. The reason phrase and the
     * space before it may be absent.
     *
     * @throws MalformedResponseException if the line is not valid, or if the status is not from 100 to 599
     */
    static int status(ByteBuf bytes, int start, int end) {
        boolean valid = end - start >= STATUS_END
                && hasVersion(bytes, start)
                && (end == start + STATUS_END || bytes.getByte(start + STATUS_END) == ' ')
                && isText(bytes, start + STATUS_END, end);
        int status = valid ? decimal(bytes, start + STATUS_START, start + STATUS_END) : 0;
        if (status < FIRST_STATUS || status > LAST_STATUS) {
            throw new MalformedResponseException(
                    "the response must begin with a status line with a status from 100 to 599 but began with "
                            + quoted(bytes, start, end));
        }
        return status;
    }

    /** Returns whether a valid status line states version 1.0. */
    static boolean isVersion10(ByteBuf bytes, int start) {
        return bytes.getByte(start + VERSION_PREFIX.length) == '0';
    }

    private static boolean hasVersion(ByteBuf bytes, int start) {
        for (int i = 0; i < VERSION_PREFIX.length; i++) {
            if (bytes.getByte(start + i) != VERSION_PREFIX[i]) {
                return false;
            }
        }
        byte minor = bytes.getByte(start + VERSION_PREFIX.length);
        return (minor == '0' || minor == '1') && bytes.getByte(start + STATUS_START - 1) == ' ';
    }

    /** Returns the value of decimal digits, or -1 if there is another byte. */
    private static int decimal(ByteBuf bytes, int start, int end) {
        int value = 0;
        for (int i = start; i < end; i++) {
            int digit = bytes.getByte(i) - '0';
            if (digit < 0 || digit >= DECIMAL) {
                return -1;
            }
            value = value * DECIMAL + digit;
        }
        return value;
    }

    /**
     * Returns the index of the colon that ends the name of a field.
     *
     * <p>A line that begins with a space or a tab continues the line before it in former versions of the protocol, and is
     * not valid.
     *
     * @throws MalformedResponseException if the line is not valid
     */
    static int fieldNameEnd(ByteBuf bytes, int start, int end) {
        int nameEnd = start;
        while (nameEnd < end && isTokenCharacter(bytes.getUnsignedByte(nameEnd))) {
            nameEnd++;
        }
        boolean named = nameEnd > start && nameEnd < end && bytes.getByte(nameEnd) == ':';
        if (!named || !isText(bytes, nameEnd, end)) {
            throw new MalformedResponseException(
                    "a field must be a name, a colon and a value but was " + quoted(bytes, start, end));
        }
        return nameEnd;
    }

    /**
     * Returns the size that a line before a chunk states, in bytes.
     *
     * <p>Blanks behind the size, and extensions, which have no meaning here, are valid.
     *
     * @throws MalformedResponseException if the line is not valid
     */
    static int chunkSize(ByteBuf bytes, int start, int end) {
        long size = 0;
        int sizeEnd = start;
        while (sizeEnd < end && size <= Integer.MAX_VALUE && hexadecimal(bytes.getByte(sizeEnd)) >= 0) {
            size = size * HEXADECIMAL + hexadecimal(bytes.getByte(sizeEnd));
            sizeEnd++;
        }
        int extension = sizeEnd;
        while (extension < end && isBlank(bytes.getByte(extension))) {
            extension++;
        }
        boolean ended = extension == end || bytes.getByte(extension) == ';';
        if (sizeEnd == start || size > Integer.MAX_VALUE || !ended || !isText(bytes, extension, end)) {
            throw new MalformedResponseException(
                    "a chunk must begin with its size in bytes but began with " + quoted(bytes, start, end));
        }
        return (int) size;
    }

    private static int hexadecimal(byte character) {
        return Character.digit(character, HEXADECIMAL);
    }

    /** Returns whether a byte is white space within a line. */
    static boolean isBlank(byte character) {
        return character == ' ' || character == '\t';
    }

    private static boolean isTokenCharacter(int character) {
        return character < TOKEN_CHARACTERS.length && TOKEN_CHARACTERS[character];
    }

    /** Returns whether there is no control character but the tab. */
    private static boolean isText(ByteBuf bytes, int start, int end) {
        for (int i = start; i < end; i++) {
            int character = bytes.getUnsignedByte(i);
            if (character < ' ' && character != '\t' || character == DELETE) {
                return false;
            }
        }
        return true;
    }

    /** Returns the first bytes of a line for a message, other than printable characters as escape sequences. */
    static String quoted(ByteBuf bytes, int start, int end) {
        int quotedEnd = Math.min(end, start + MAX_QUOTED_BYTES);
        StringBuilder text = new StringBuilder("'");
        for (int i = start; i < quotedEnd; i++) {
            int character = bytes.getUnsignedByte(i);
            if (character >= ' ' && character <= '~') {
                text.append((char) character);
            } else {
                text.append("\\x%02x".formatted(character));
            }
        }
        return text.append(quotedEnd < end ? "..." : "").append('\'').toString();
    }
}
