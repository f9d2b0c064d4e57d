package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.FileId;

/**
 * Answers {@link BindJobKey} with what the key names.
 *
 * <p>Immutable, thus thread-safe.
 */
record JobKeyBound(FileId file, String endpoint) implements CallerReply {}
