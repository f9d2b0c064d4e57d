package org.cornelcrank.job;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.JobId;

/**
 * Confirms that the end of the job is stored.
 *
 * <p>Immutable, thus thread-safe.
 */
public record JobEnded(JobId job) implements CallerReply {}
