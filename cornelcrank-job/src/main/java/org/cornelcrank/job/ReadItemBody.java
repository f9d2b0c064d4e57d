package org.cornelcrank.job;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Asks for the body of an item as it was submitted; answered by {@link ItemBody}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ReadItemBody(JobId job, String itemId) implements CallerCommand {}
