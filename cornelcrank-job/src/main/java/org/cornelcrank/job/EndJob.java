package org.cornelcrank.job;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Asks for a job to be ended; answered by {@link JobEnded}.
 *
 * <p>What is listed stays listed. Immutable, thus thread-safe.
 */
public record EndJob(JobId job, long deadlineAtMs) implements CallerCommand {}
