package org.cornelcrank.job;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Ends a job; the reply is {@link JobEnded}.
 *
 * <p>Results that are already listed stay listed. Immutable, thus thread-safe.
 */
public record EndJob(JobId job, long deadlineAtMs) implements CallerCommand {}
