package org.cornelcrank.core;

import java.util.Objects;

/**
 * The version of a target's software, which determines what it generates.
 *
 * <p>An interrupted stream can be continued only by a target of the same service and version; versions have no order.
 * Immutable, thus thread-safe.
 */
public record SoftwareVersion(String text) {

    /** The version of targets that state none; it is equal to itself. */
    public static final SoftwareVersion UNSTATED = new SoftwareVersion("");

    /** The longest time in ms from the beginning of a stream until its caller takes it up. */
    public static final long STREAM_LIFETIME_MS = 30_000;

    /** Maximum length of a version, in characters, so that it fits into messages between daemons. */
    public static final int MAX_LENGTH = 200;

    public SoftwareVersion {
        Objects.requireNonNull(text, "text must not be null");
        if (text.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "version must have at most " + MAX_LENGTH + " characters but had " + text.length());
        }
    }

    @Override
    public String toString() {
        return text.isEmpty() ? "unstated" : text;
    }
}
