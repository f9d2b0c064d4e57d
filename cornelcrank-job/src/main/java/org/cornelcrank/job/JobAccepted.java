package org.cornelcrank.job;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.JobId;

/**
 * Says that the job lies in the store, and will be run.
 *
 * <p>Immutable, thus thread-safe.
 */
public record JobAccepted(JobId job) implements CallerReply {}
