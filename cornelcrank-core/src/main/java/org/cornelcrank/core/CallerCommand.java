package org.cornelcrank.core;

/**
 * Marker interface for a command that a caller or an operator sends to the daemon.
 *
 * <p>Each slice declares its own records for the commands that it handles. Implementations are immutable.
 */
public interface CallerCommand {}
