package org.cornelcrank.server.http;

import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;

/**
 * Carries a refusal through a reactive pipeline to the code that writes it to the caller.
 *
 * <p>Immutable, thus thread-safe.
 */
final class RefusedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    RefusedException(Refusal refusal) {
        super(refusal.message(), null, false, false);
        this.refusal = refusal;
    }

    static RefusedException notRun(RefusalCode code, String message) {
        return new RefusedException(Refusal.notRun(code, message));
    }

    Refusal refusal() {
        return refusal;
    }
}
