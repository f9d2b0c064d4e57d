package org.cornelcrank.core;

/**
 * Marker interface for the reply to a {@link CallerCommand}.
 *
 * <p>Each slice declares its own records; {@link Refusal} is common to all. Implementations are immutable.
 */
public interface CallerReply {}
