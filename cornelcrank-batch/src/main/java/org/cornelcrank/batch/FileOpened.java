package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.FileId;

/**
 * Reply to {@link OpenFile}: the file is stored and accepts items.
 *
 * <p>Immutable, thus thread-safe.
 */
public record FileOpened(FileId file) implements CallerReply {}
