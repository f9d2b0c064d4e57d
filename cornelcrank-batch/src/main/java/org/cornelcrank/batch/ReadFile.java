package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Command that reads lines of an uploaded file from the given item on; the reply is {@link FilePage}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ReadFile(FileId file, int fromItem, int limit) implements CallerCommand {}
