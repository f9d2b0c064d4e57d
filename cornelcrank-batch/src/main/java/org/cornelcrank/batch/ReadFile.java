package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Reads lines of an uploaded file, from an item on; answered by {@link FilePage}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ReadFile(FileId file, int fromItem, int most) implements CallerCommand {}
