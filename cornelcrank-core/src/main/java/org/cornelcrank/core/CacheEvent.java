package org.cornelcrank.core;

/**
 * Reports that a prompt prefix was added to or evicted from a target's cache.
 *
 * <p>Events arrive late, and some are lost.
 * Immutable, thus thread-safe.
 */
public record CacheEvent(long prefixHash, boolean cached) {}
