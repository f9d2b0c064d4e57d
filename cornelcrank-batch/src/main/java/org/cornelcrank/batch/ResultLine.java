package org.cornelcrank.batch;

import java.util.Optional;

import com.google.protobuf.ByteString;

/**
 * Result of an ended item: the target's response, or the reason of the failure.
 *
 * <p>{@code errorCode} is present if and only if the item failed. {@code statusCode} is zero if no target responded.
 * Immutable, thus thread-safe.
 */
public record ResultLine(
        int item, String customId, int statusCode, ByteString body, Optional<String> errorCode, String errorMessage) {

    /** Returns whether the item ended with a failure. */
    public boolean failed() {
        return errorCode.isPresent();
    }
}
