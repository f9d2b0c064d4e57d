package org.cornelcrank.core;

import java.util.Locale;

/** The reasons for a refusal, each with the HTTP status sent to the caller. */
public enum RefusalCode {
    INVALID_REQUEST(400),
    UNAUTHENTICATED(401),
    FORBIDDEN(403),
    NOT_FOUND(404),
    CONFLICT(409),
    TOO_LARGE(413),
    QUARANTINED(422),
    LIMIT_EXCEEDED(429),
    CANCELLED(499),
    TARGET_FAILED(502),
    OVERLOADED(503),
    STORE_UNAVAILABLE(503),
    NO_TARGET(503),
    NOT_READY(503),
    DEADLINE_EXCEEDED(504);

    private final int httpStatus;

    RefusalCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the code as written in the OpenAI error object. */
    public String errorCode() {
        return name().toLowerCase(Locale.ROOT);
    }
}
