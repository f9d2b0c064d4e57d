package org.cornelcrank.job;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Asks for a job to be accepted; answered by {@link JobAccepted}.
 *
 * <p>A job that is submitted again is accepted again, and runs once. Immutable, thus thread-safe.
 */
public record SubmitJob(JobId job, JobContent content, long deadlineAtMs) implements CallerCommand {}
