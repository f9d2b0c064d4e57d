package org.cornelcrank.membership;

/**
 * A fact's key and the version that a daemon holds.
 *
 * <p>Immutable, thus thread-safe.
 */
record FactVersion(FactKey key, long version) {}
