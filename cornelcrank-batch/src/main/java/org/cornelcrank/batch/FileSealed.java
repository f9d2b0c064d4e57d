package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;

/**
 * Answers {@link SealFile} with the file that holds the content, which may be an earlier one.
 *
 * <p>Immutable, thus thread-safe.
 */
public record FileSealed(FileInfo file) implements CallerReply {}
