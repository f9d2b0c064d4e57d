package org.cornelcrank.core;

/**
 * Marks an answer to a {@link CallerCommand}.
 *
 * <p>Each slice declares its own records beside {@link Refusal}. Implementations are immutable.
 */
public interface CallerReply {}
