package org.cornelcrank.core;

/**
 * A target's notice that a prompt prefix entered or left its cache; it comes late and with gaps.
 *
 * <p>Immutable, thus thread-safe.
 */
public record CacheEvent(long prefixHash, boolean cached) {}
