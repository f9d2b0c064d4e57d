package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.FileId;

/**
 * Reply to {@link BindJobKey} with the file and endpoint that the key is bound to.
 *
 * <p>Immutable, thus thread-safe.
 */
record JobKeyBound(FileId file, String endpoint) implements CallerReply {}
