package org.cornelcrank.job;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.JobId;

/**
 * Confirms that the job is stored and will be run.
 *
 * <p>Immutable, thus thread-safe.
 */
public record JobAccepted(JobId job) implements CallerReply {}
