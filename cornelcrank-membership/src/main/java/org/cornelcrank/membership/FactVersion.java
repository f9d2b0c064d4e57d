package org.cornelcrank.membership;

/**
 * Names a fact and the version that a daemon has of it.
 *
 * <p>Immutable, thus thread-safe.
 */
record FactVersion(FactKey key, long version) {}
