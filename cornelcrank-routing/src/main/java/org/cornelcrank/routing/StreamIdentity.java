package org.cornelcrank.routing;

/**
 * Identifies the stream that responds to a request, across the attempts of its caller.
 *
 * <p>{@code key} is the hash of the id of the request that began the stream. {@code resumed} indicates that the caller
 * has events of the stream already. Immutable, thus thread-safe.
 */
public record StreamIdentity(long key, boolean resumed) {}
