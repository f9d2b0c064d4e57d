package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Command that lists the team's jobs, newest first; the reply is {@link JobList}.
 *
 * <p>{@code after} is the last job of the previous page. An operator gets the jobs of all teams. Immutable, thus
 * thread-safe.
 */
public record ListJobs(Optional<JobId> after, int limit) implements CallerCommand {}
