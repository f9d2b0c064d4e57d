package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;

/**
 * Reply to {@link SealFile} with the file that stores the content, possibly an earlier upload of the same content.
 *
 * <p>Immutable, thus thread-safe.
 */
public record FileSealed(FileInfo file) implements CallerReply {}
