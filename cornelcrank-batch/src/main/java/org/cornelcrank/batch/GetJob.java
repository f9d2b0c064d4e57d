package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Asks for the state of a job; answered by {@link JobInfo}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record GetJob(JobId job) implements CallerCommand {}
