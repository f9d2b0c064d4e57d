package org.cornelcrank.job;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Submits a job; the reply is {@link JobAccepted}.
 *
 * <p>Idempotent: a job that is submitted again is accepted again, but runs only once. Immutable, thus thread-safe.
 */
public record SubmitJob(JobId job, JobContent content, long deadlineAtMs) implements CallerCommand {}
