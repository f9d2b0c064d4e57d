package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Command that discards a file upload before it is sealed; the reply is {@link FileAbandoned}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record AbandonFile(FileId file) implements CallerCommand {}
