package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Reads results of a job, from an item on, also while it runs; answered by {@link ResultPage}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ReadResults(JobId job, int fromItem, int most) implements CallerCommand {}
