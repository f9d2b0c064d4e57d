package org.cornelcrank.batch;

import java.util.Optional;

import com.google.protobuf.ByteString;

/**
 * One ended item: the answer of its target, or why there is none.
 *
 * <p>Invariant: {@code errorCode} is present iff the item failed. {@code statusCode} is zero where no target answered.
 * Immutable, thus thread-safe.
 */
public record ResultLine(
        int item, String customId, int statusCode, ByteString body, Optional<String> errorCode, String errorMessage) {

    /** Returns whether the item ended with a failure. */
    public boolean failed() {
        return errorCode.isPresent();
    }
}
