package org.cornelcrank.job;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Asks for the results from a position on; answered by {@link JobPage}.
 *
 * <p>{@code waitMs} above zero lets the answer wait for a first result. Immutable, thus thread-safe.
 */
public record ReadJob(JobId job, int fromPosition, long waitMs) implements CallerCommand {}
