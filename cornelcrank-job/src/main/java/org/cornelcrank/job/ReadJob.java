package org.cornelcrank.job;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Reads the results of a job from a position on; the reply is a {@link JobPage}.
 *
 * <p>If {@code waitMs} is positive, the reply may wait that long for a first result. Immutable, thus thread-safe.
 */
public record ReadJob(JobId job, int fromPosition, long waitMs) implements CallerCommand {}
