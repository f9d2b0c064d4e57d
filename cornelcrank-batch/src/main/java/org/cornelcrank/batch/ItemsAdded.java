package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;

/**
 * Reply to {@link AddItems} with the total number of items now stored in the file.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ItemsAdded(int total) implements CallerReply {}
