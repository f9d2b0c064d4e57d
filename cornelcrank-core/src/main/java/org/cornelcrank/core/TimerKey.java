package org.cornelcrank.core;

/**
 * Identifies a timer of one state machine; scheduling it again replaces the earlier due time.
 *
 * <p>Immutable, thus thread-safe.
 */
public record TimerKey(String stateMachine, String name) {}
