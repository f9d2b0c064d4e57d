package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.FileId;

/**
 * Answers {@link OpenFile}: the file is kept, and takes items.
 *
 * <p>Immutable, thus thread-safe.
 */
public record FileOpened(FileId file) implements CallerReply {}
