package org.cornelcrank.core;

import java.util.Objects;

/**
 * A reply that refuses a request, and states whether the request may have run and when it may be retried.
 *
 * <p>Invariant: {@code retryAfterMs} is zero if a retry would be pointless. Immutable, thus thread-safe.
 */
public record Refusal(Verdict verdict, RefusalCode code, String message, long retryAfterMs) implements CallerReply {

    public Refusal {
        Objects.requireNonNull(verdict, "verdict must not be null");
        Objects.requireNonNull(code, "code must not be null");
        Objects.requireNonNull(message, "message must not be null");
        if (retryAfterMs < 0) {
            throw new IllegalArgumentException("retryAfterMs must not be negative but was " + retryAfterMs);
        }
    }

    /** Returns a refusal of a request that no target has started, without a retry delay. */
    public static Refusal notRun(RefusalCode code, String message) {
        return new Refusal(Verdict.NOT_RUN, code, message, 0);
    }

    /** Returns a refusal of a request that no target has started and that may be retried after the given delay. */
    public static Refusal notRun(RefusalCode code, String message, long retryAfterMs) {
        return new Refusal(Verdict.NOT_RUN, code, message, retryAfterMs);
    }
}
