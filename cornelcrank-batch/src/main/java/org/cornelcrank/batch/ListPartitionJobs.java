package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;

/**
 * Asks one partition's owner for its part of a {@link JobList}.
 *
 * <p>Sent between daemons only. The jobs wanted follow, newest first, the time and the id given; an empty id stands
 * before all. Immutable, thus thread-safe.
 */
record ListPartitionJobs(long createdUntilMs, String after, int limit) implements CallerCommand {}
