package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;

/**
 * Command that lists the jobs of one partition; its owner replies with a {@link JobList}.
 *
 * <p>Sent between daemons only. The list, newest first, contains the jobs that follow the given creation time and id;
 * an empty id sorts before all others. Immutable, thus thread-safe.
 */
record ListPartitionJobs(long createdUntilMs, String after, int limit) implements CallerCommand {}
