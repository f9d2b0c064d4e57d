package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.JobId;

/**
 * Asks for the team's jobs, newest first; answered by {@link JobList}.
 *
 * <p>{@code after} names the last job of the page before. An operator gets the jobs of all teams. Immutable, thus thread-safe.
 */
public record ListJobs(Optional<JobId> after, int limit) implements CallerCommand {}
