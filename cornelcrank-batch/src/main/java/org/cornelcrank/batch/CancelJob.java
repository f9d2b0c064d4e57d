package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Command that cancels a job; the reply is {@link JobInfo}, which shows the original end if the job had already ended.
 *
 * <p>Results that arrive after the cancellation are not recorded. Immutable, thus thread-safe.
 */
public record CancelJob(JobId job) implements CallerCommand {}
