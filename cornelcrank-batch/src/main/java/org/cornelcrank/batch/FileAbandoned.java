package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.FileId;

/**
 * Reply to {@link AbandonFile}: nothing of the upload is stored.
 *
 * <p>Immutable, thus thread-safe.
 */
public record FileAbandoned(FileId file) implements CallerReply {}
