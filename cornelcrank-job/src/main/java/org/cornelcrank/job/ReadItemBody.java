package org.cornelcrank.job;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Reads the submitted body of an item; the reply is {@link ItemBody}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ReadItemBody(JobId job, String itemId) implements CallerCommand {}
