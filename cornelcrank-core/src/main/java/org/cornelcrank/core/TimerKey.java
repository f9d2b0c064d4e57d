package org.cornelcrank.core;

/**
 * Names a timer of one duty; scheduling it again replaces the earlier due time.
 *
 * <p>Immutable, thus thread-safe.
 */
public record TimerKey(String stateMachine, String name) {}
