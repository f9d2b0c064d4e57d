package org.cornelcrank.core;

import com.google.protobuf.ByteString;

/**
 * Represents the outcome of an attempt to run a request on a target.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface AttemptOutcome {

    /** Returns whether the request may have run on the target. */
    Verdict verdict();

    /**
     * The target sent a complete response.
     *
     * <p>{@code body} is empty if the I/O layer has already streamed the response to the caller.
     */
    record Succeeded(int status, String contentType, ByteString body, int tokens) implements AttemptOutcome {
        @Override
        public Verdict verdict() {
            return Verdict.COMPLETED;
        }
    }

    /**
     * The attempt failed.
     *
     * <p>{@code tokens} is the number of tokens that the target streamed before the failure; {@code bytesReachedCaller}
     * indicates whether the caller has received any of them; {@code body} is the target's own error body for
     * {@link FailureKind#REJECTED}.
     */
    record Failed(
            Verdict verdict,
            FailureKind kind,
            int status,
            int tokens,
            boolean bytesReachedCaller,
            long retryAfterMs,
            ByteString body,
            String detail)
            implements AttemptOutcome {}
}
