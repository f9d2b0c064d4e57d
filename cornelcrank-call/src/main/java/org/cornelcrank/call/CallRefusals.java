package org.cornelcrank.call;

import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.Verdict;

/**
 * Makes the refusals of guarded calls, each with a verdict that is true of the request it answers.
 *
 * <p>Stateless, thus thread-safe.
 */
final class CallRefusals {

    private static final long RETRY_AFTER_MS = 1_000;

    private CallRefusals() {}

    static Refusal otherBody() {
        return Refusal.notRun(RefusalCode.CONFLICT, "the idempotency key was used for another call");
    }

    static Refusal ownerLost(CallKey key) {
        String message = "the call with idempotency key " + key.key()
                + " may have run; its owner was lost before the answer was kept";
        return new Refusal(Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED, message, 0);
    }

    static Refusal answerNotKept(CallKey key) {
        String message = "the call with idempotency key " + key.key() + " ran; its answer was too long to keep";
        return new Refusal(Verdict.COMPLETED, RefusalCode.TOO_LARGE, message, 0);
    }

    static Refusal answerUnreadable() {
        String message = "the call ran; its answer cannot be read because the log does not answer";
        return new Refusal(Verdict.COMPLETED, RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS);
    }

    static Refusal logSilent() {
        String message = "the log does not answer, and a call that may not be repeated is not run without it";
        return Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS);
    }

    static Refusal overloaded() {
        return Refusal.notRun(RefusalCode.OVERLOADED, "too much waits for the log", RETRY_AFTER_MS);
    }

    static Refusal tooLate() {
        return Refusal.notRun(RefusalCode.DEADLINE_EXCEEDED, "the deadline passed before the call could run");
    }
}
