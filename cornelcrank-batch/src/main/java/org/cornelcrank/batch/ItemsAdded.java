package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;

/**
 * Answers {@link AddItems}: so many items of the file are kept.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ItemsAdded(int total) implements CallerReply {}
