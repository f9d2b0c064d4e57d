package org.cornelcrank.standin;

/**
 * One call that a plain service ran.
 *
 * <p>{@code number} counts the calls of the service from 1; {@code idempotencyKey} is empty where the caller sent none.
 * Immutable, thus thread-safe.
 */
public record ServiceCall(long number, String method, String path, String idempotencyKey, String body) {}
