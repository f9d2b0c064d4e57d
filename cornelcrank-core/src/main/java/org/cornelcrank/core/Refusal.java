package org.cornelcrank.core;

import java.util.Objects;

/**
 * Tells a caller that its request is not answered, whether it may have run, and when to come back.
 *
 * <p>Invariant: {@code retryAfterMs} is zero where a retry has no prospect. Immutable, thus thread-safe.
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

    /** Returns a refusal of a request that no target has begun. */
    public static Refusal notRun(RefusalCode code, String message) {
        return new Refusal(Verdict.NOT_RUN, code, message, 0);
    }

    /** Returns a refusal of a request that no target has begun and that may be sent again after a while. */
    public static Refusal notRun(RefusalCode code, String message, long retryAfterMs) {
        return new Refusal(Verdict.NOT_RUN, code, message, retryAfterMs);
    }
}
