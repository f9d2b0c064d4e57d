package org.cornelcrank.job;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.JobId;

/**
 * Says that the end of the job lies in the store.
 *
 * <p>Immutable, thus thread-safe.
 */
public record JobEnded(JobId job) implements CallerReply {}
