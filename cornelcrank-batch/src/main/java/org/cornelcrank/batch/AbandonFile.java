package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Gives up an upload that has not been sealed; answered by {@link FileAbandoned}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record AbandonFile(FileId file) implements CallerCommand {}
