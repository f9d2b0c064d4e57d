package org.cornelcrank.core;

import com.google.protobuf.ByteString;

/**
 * States how an attempt ended.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface AttemptOutcome {

    /** Returns whether the request may have run. */
    Verdict verdict();

    /**
     * The target answered to the end.
     *
     * <p>{@code body} is empty where the edge has passed the answer to the caller itself.
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
     * <p>{@code tokens} counts what the target had streamed before; {@code bytesReachedCaller} says whether the caller
     * has seen any of it; {@code body} is the target's own error body for {@link FailureKind#REJECTED}.
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
