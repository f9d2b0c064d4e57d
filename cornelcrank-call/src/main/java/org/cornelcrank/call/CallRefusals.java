package org.cornelcrank.call;

import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.Verdict;

/**
 * Creates the refusals of guarded calls; the verdict of each applies to the request that is refused.
 *
 * <p>Stateless, thus thread-safe.
 */
final class CallRefusals {

    private static final long RETRY_AFTER_MS = 1_000;

    private CallRefusals() {}

    static Refusal keyReused() {
        return Refusal.notRun(RefusalCode.CONFLICT, "the idempotency key was already used for a different call");
    }

    static Refusal ownerLost(CallKey key) {
        String message = "the call with idempotency key " + key.key()
                + " may have run; its owner was lost before the response was stored";
        return new Refusal(Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED, message, 0);
    }

    static Refusal responseNotStored(CallKey key) {
        String message = "the call with idempotency key " + key.key() + " ran; its response was too large to store";
        return new Refusal(Verdict.COMPLETED, RefusalCode.TOO_LARGE, message, 0);
    }

    static Refusal responseUnreadable() {
        String message = "the call ran; its response cannot be read because the log does not respond";
        return new Refusal(Verdict.COMPLETED, RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS);
    }

    static Refusal logUnavailable() {
        String message = "the log does not respond, and a non-repeatable call cannot run without it";
        return Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS);
    }

    static Refusal overloaded() {
        return Refusal.notRun(RefusalCode.OVERLOADED, "too many bytes wait to be appended to the log", RETRY_AFTER_MS);
    }

    static Refusal deadlineExceeded() {
        return Refusal.notRun(RefusalCode.DEADLINE_EXCEEDED, "the deadline passed before the call could run");
    }
}
