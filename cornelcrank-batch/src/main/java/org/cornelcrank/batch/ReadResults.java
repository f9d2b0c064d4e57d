package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Command that reads results of a job from the given item on, even while it runs; the reply is {@link ResultPage}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ReadResults(JobId job, int fromItem, int limit) implements CallerCommand {}
