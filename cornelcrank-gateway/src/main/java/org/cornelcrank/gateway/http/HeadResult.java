package org.cornelcrank.gateway.http;

/**
 * What came of reading a caller's head.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface HeadResult {

    /** The head is good. */
    record Valid(RequestHead head) implements HeadResult {}

    /** The head is no proper request; the reason tells the caller what is allowed. */
    record Invalid(String reason) implements HeadResult {}
}
