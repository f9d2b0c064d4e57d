package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.FileId;

/**
 * Answers {@link AbandonFile}: nothing of the upload is kept.
 *
 * <p>Immutable, thus thread-safe.
 */
public record FileAbandoned(FileId file) implements CallerReply {}
