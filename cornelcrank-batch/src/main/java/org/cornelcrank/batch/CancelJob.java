package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Cancels a job; answered by {@link JobInfo}, which shows the earlier end of a job that had ended.
 *
 * <p>Nothing counts that an item brings after the cancel. Immutable, thus thread-safe.
 */
public record CancelJob(JobId job) implements CallerCommand {}
