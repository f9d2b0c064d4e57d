package org.cornelcrank.gateway.http;

/**
 * The result of reading the head of a caller's request.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface HeadResult {

    /** The head is valid. */
    record Valid(RequestHead head) implements HeadResult {}

    /** The head is malformed; the reason tells the caller what is allowed. */
    record Invalid(String reason) implements HeadResult {}
}
