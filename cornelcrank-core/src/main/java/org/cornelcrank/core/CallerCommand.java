package org.cornelcrank.core;

/**
 * Marks what a caller or an operator asks of the daemon.
 *
 * <p>Each slice declares the records for the commands that it answers. Implementations are immutable.
 */
public interface CallerCommand {}
