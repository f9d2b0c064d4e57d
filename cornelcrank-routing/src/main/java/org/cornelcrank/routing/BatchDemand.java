package org.cornelcrank.routing;

import org.cornelcrank.core.JobId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;

/**
 * A job's standing demand for capacity.
 *
 * <p>Invariant: {@code runnable} counts the items that could start now, zero or more. Immutable, thus thread-safe.
 */
public record BatchDemand(
        JobId job, TeamPath team, ServiceName service, long deadlineAtMs, int share, int runnable, long remaining) {}
