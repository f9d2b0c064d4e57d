package org.cornelcrank.standin;

/**
 * A call that a plain service ran.
 *
 * <p>{@code number} is the number of the call, starting from 1; {@code idempotencyKey} is empty if the caller sent
 * none. Immutable, thus thread-safe.
 */
public record ServiceCall(long number, String method, String path, String idempotencyKey, String body) {}
