package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Command that returns the state of a job; the reply is {@link JobInfo}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record GetJob(JobId job) implements CallerCommand {}
